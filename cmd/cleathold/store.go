package main

import (
	"errors"
	"fmt"
	"io"
	"os"

	"cleathold/internal/store"
)

// storeCmd groups the commands for the folder of a store, which is a write-ahead log or a dead-letter queue.
type storeCmd struct {
	Stat    storeStatCmd    `cmd:"" help:"Tell what a folder holds; also while it is in use."`
	Verify  storeVerifyCmd  `cmd:"" help:"Read all that is live, and tell of damage; also while it is in use."`
	Dump    storeDumpCmd    `cmd:"" help:"Write the live records as JSON lines; also while it is in use."`
	Backup  storeBackupCmd  `cmd:"" help:"Copy a folder, also while it is in use, into an empty one."`
	Restore storeRestoreCmd `cmd:"" help:"Copy a backup into an empty folder, and check the copy."`
	Repair  storeRepairCmd  `cmd:"" help:"Write what can be read of a folder into an empty one."`
}

// storeFolder is the folder argument of the commands that read a store.
type storeFolder struct {
	Folder string `arg:"" help:"Folder of the store." type:"existingdir"`
}

// open opens the store read-only. This also works while a sender has it open.
func (f storeFolder) open() (*store.Store, error) {
	s, err := store.OpenReadOnly(store.Dir(f.Folder))
	if errors.Is(err, store.ErrNewer) {
		return nil, fmt.Errorf("%w: use that program to read it", err)
	}
	return s, err
}

// read opens the store, calls use and closes the store.
func (f storeFolder) read(use func(s *store.Store) error) error {
	s, err := f.open()
	if err != nil {
		return err
	}
	defer s.Close()
	return use(s)
}

// storeStatCmd prints the size of each segment of a store, and its damage.
type storeStatCmd struct {
	storeFolder
	jsonFlag
}

// Run executes the command.
func (c *storeStatCmd) Run(out io.Writer) error {
	return c.read(func(s *store.Store) error {
		summary := s.Summary()
		if c.JSON {
			return writeJSON(out, summary)
		}
		for _, segment := range summary.Segments {
			fmt.Fprintf(out, "%s\t%d bytes\t%d live\n", segment.File, segment.Size, segment.Live)
		}
		writeDamages(out, summary)
		_, err := fmt.Fprintf(out, "%d entities, %d bytes live of %d on disk in %d segments\n",
			summary.Entities, summary.Live, summary.Disk, len(summary.Segments))
		return err
	})
}

// writeDamages writes a line for each damaged range. An incomplete append at the end of a segment does not count as
// damage, because its durability was never confirmed.
func writeDamages(out io.Writer, summary store.Summary) {
	for _, d := range summary.Damages {
		if d.Tail {
			fmt.Fprintf(out, "%s ends in the middle of an append at %d, which was not promised (%d bytes)\n",
				d.File, d.Offset, d.Length)
			continue
		}
		fmt.Fprintf(out, "DAMAGE %s\n", damageText(d))
	}
	if summary.Doubtful > 0 {
		fmt.Fprintf(out, "%d entities may lack a record\n", summary.Doubtful)
	}
}

// damageText describes one damaged range.
func damageText(d store.Damage) string {
	if d.Missing {
		return fmt.Sprintf("segments before %s are missing", d.File)
	}
	return fmt.Sprintf("%s at %d: %d bytes can't be read", d.File, d.Offset, d.Length)
}

// storeVerifyCmd reads all live records of a store. It exits with exitDamaged if any are damaged.
type storeVerifyCmd struct {
	storeFolder
	jsonFlag
}

// Run executes the command.
func (c *storeVerifyCmd) Run(out io.Writer) error {
	return c.read(func(s *store.Store) error {
		summary := s.Summary()
		if c.JSON {
			if err := writeJSON(out, summary); err != nil {
				return err
			}
		} else {
			writeDamages(out, summary)
		}
		damage := s.Verify()
		for _, d := range summary.Damages {
			if d.Missing || !d.Tail {
				damage = errors.Join(damage, errors.New(damageText(d)))
			}
		}
		if damage != nil {
			err := fmt.Errorf("%w\n`cleathold store repair` copies the readable records into another folder", damage)
			return exitError{err, exitDamaged}
		}
		if !c.JSON {
			fmt.Fprintf(out, "%d entities, all of them can be read\n", summary.Entities)
		}
		return nil
	})
}

// storeDumpCmd writes a store's live records as JSON lines.
type storeDumpCmd struct{ storeFolder }

// Run executes the command.
func (c *storeDumpCmd) Run(out io.Writer) error {
	return c.read(func(s *store.Store) error { return s.Dump(out) })
}

// storeBackupCmd copies a store's folder.
type storeBackupCmd struct {
	storeFolder
	To string `arg:"" help:"Folder for the copy; it is made, or must be empty."`
}

// Run executes the command.
func (c *storeBackupCmd) Run(out io.Writer) error { return copyStore(out, c.Folder, c.To) }

// storeRestoreCmd copies a backup to an empty folder of a store.
type storeRestoreCmd struct {
	Backup string `arg:"" help:"Folder of the backup." type:"existingdir"`
	To     string `arg:"" help:"Folder of the store; it is made, or must be empty."`
}

// Run executes the command.
func (c *storeRestoreCmd) Run(out io.Writer) error { return copyStore(out, c.Backup, c.To) }

// copyStore copies a store's folder and verifies the copy.
func copyStore(out io.Writer, from, to string) error {
	if err := os.MkdirAll(to, 0o700); err != nil {
		return err
	}
	size, err := store.Backup(store.Dir(from), store.Dir(to))
	if err != nil {
		return err
	}
	fmt.Fprintf(out, "%d bytes copied\n", size)
	return (&storeVerifyCmd{storeFolder: storeFolder{to}}).Run(out)
}

// storeRepairCmd copies the readable records of a damaged store into another folder.
type storeRepairCmd struct {
	storeFolder
	To    string `arg:"" help:"Folder for the repaired one; it is made, or must be empty."`
	Sound bool   `help:"Leave out what may lack a record."`
	jsonFlag
}

// Run executes the command.
func (c *storeRepairCmd) Run(out io.Writer) error {
	if err := os.MkdirAll(c.To, 0o700); err != nil {
		return err
	}
	written, omitted, err := store.Repair(store.Dir(c.Folder), store.Options{FS: store.Dir(c.To)}, c.Sound)
	if err != nil {
		return err
	}
	if c.JSON {
		return writeJSON(out, map[string]int{"written": written, "left_out": omitted})
	}
	_, err = fmt.Fprintf(out, "%d entities written, %d left out; the folder %s is as it was\n", written, omitted, c.Folder)
	return err
}
