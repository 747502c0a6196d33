package deadletter

import (
	"encoding/json"
	"fmt"
	"time"
)

// AuditEntry records one operator command in the audit trail.
type AuditEntry struct {
	At       time.Time `json:"at"`
	Caller   string    `json:"by"`
	Command  string    `json:"verb"`
	Filter   *Filter   `json:"filter,omitempty"`
	Records  []uint64  `json:"records,omitempty"` // at most the first maxAuditRecords
	Done     int       `json:"done"`
	Rejected int       `json:"refused"`
}

// maxAuditRecords limits the sequence numbers listed in one entry.
const maxAuditRecords = 100

// audit appends an entry. The audit trail keeps the latest maxAuditEntries entries.
func (t *Tx) audit(entry AuditEntry) error {
	b := t.Bucket(bucketAudit)
	n, err := b.NextSequence()
	if err != nil {
		return err
	}
	if len(entry.Records) > maxAuditRecords {
		entry.Records = entry.Records[:maxAuditRecords]
	}
	data, err := json.Marshal(entry)
	if err != nil {
		return err
	}
	if err := b.Put(encodeUint(n), data); err != nil || n <= maxAuditEntries {
		return err
	}
	return b.Delete(encodeUint(n - maxAuditEntries))
}

// Audit returns up to limit of the latest entries, newest first.
func (t *Tx) Audit(limit int) ([]AuditEntry, error) {
	var list []AuditEntry
	c := t.Bucket(bucketAudit).Cursor()
	for k, v := c.Last(); k != nil && len(list) < limit; k, v = c.Prev() {
		var a AuditEntry
		if err := json.Unmarshal(v, &a); err != nil {
			return list, fmt.Errorf("%w: audit trail: %w", ErrDamaged, err)
		}
		list = append(list, a)
	}
	return list, nil
}
