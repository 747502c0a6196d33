package agent

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"net/url"
	"os"
	"strconv"
	"time"

	"github.com/tidwall/gjson"

	"cleathold/internal/admin"
	"cleathold/internal/rollout"
)

// errNoResponse tells that a sender may or may not have had a call.
var errNoResponse = errors.New("no answer")

// put makes one call of the second address.
func (s *supervisor) put(ctx context.Context, address int, path string, query url.Values) error {
	_, err := s.call(ctx, http.MethodPut, s.Reach[address], path+"?"+query.Encode())
	return err
}

// pollStatus asks the process at a second address how it is.
func (s *supervisor) pollStatus(ctx context.Context, address int) (status admin.Status, err error) {
	text, err := s.call(ctx, http.MethodGet, s.Reach[address], admin.StatusPath)
	if err == nil {
		err = json.Unmarshal(text, &status)
	}
	return status, err
}

// checkHealth asks at the clients' address, as clients' front does.
func (s *supervisor) checkHealth(ctx context.Context) error {
	text, err := os.ReadFile(s.Config)
	if err != nil {
		return err
	}
	_, err = s.call(ctx, http.MethodGet, gjson.GetBytes(text, "listen").String(), "/_health")
	return err
}

func (s *supervisor) call(ctx context.Context, method, addr, path string) ([]byte, error) {
	ctx, cancel := context.WithDeadline(ctx, time.Now().Add(callTimeout))
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, "http://"+addr+path, nil)
	if err != nil {
		return nil, err
	}
	text, err := fetch(s.http, request)
	s.agent.traffic.polls.Add(1)
	s.agent.traffic.polledBytes.Add(int64(len(text)))
	return text, err
}

// endpoints are the endpoints that the sender knows of.
func (s *supervisor) endpoints(ctx context.Context) ([]rollout.Endpoint, error) {
	text, err := s.call(ctx, http.MethodGet, s.Reach[s.record().Admin], admin.TargetsPath)
	if err != nil {
		return nil, err
	}
	var list []rollout.Endpoint
	return list, json.Unmarshal(text, &list)
}

// sendExclusions tells the sender which endpoints are out, again and again while any is: it forgets by itself.
func (s *supervisor) sendExclusions(ctx context.Context, assigned assignment) {
	leader, _ := s.agent.leadership()
	current := assigned.exclusionEpoch == s.exclusionEpoch && s.observation.Process == s.exclusionProcess
	if leader == "" || s.observation.Process == "" || current && (len(assigned.excluded) == 0 || time.Since(s.exclusionsSentAt) < assigned.timing.Lease/3) {
		return
	}
	if assigned.exclusionEpoch == 0 && len(assigned.excluded) == 0 {
		return
	}
	query := url.Values{"epoch": {strconv.FormatUint(assigned.exclusionEpoch, 10)}, "until": {unixMillis(time.Now().Add(assigned.timing.Lease))}, "id": assigned.excluded}
	if err := s.put(ctx, s.record().Admin, admin.ExclusionsPath, query); err != nil {
		s.agent.log.Warn("the sender was not told which endpoints are out", "sender", s.Name, "err", err)
		return
	}
	s.exclusionEpoch, s.exclusionProcess, s.exclusionsSentAt = assigned.exclusionEpoch, s.observation.Process, time.Now()
}
