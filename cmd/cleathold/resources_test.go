package main

import (
	"bufio"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"cleathold/internal/socktest"
)

// limitDescriptors bounds the descriptors of a process.
func limitDescriptors(t *testing.T, pid int, limit uint64) {
	t.Helper()
	must(t, unix.Prlimit(pid, unix.RLIMIT_NOFILE, &unix.Rlimit{Cur: limit, Max: 1024}, nil))
}

// TestIdleClientsWhileDiscoveryIsDown has clients connect and say nothing, or ask once and stay, more of them than
// there are descriptors, while discovery is down: messages still get in, to targets, into new segments of the
// write-ahead log and to the platform, and when discovery recovers it is polled.
func TestIdleClientsWhileDiscoveryIsDown(t *testing.T) {
	t.Parallel()
	const maxDescriptors = 96
	env := newEnvironment(t, func(id string) string {
		if strings.HasPrefix(id, "u") {
			return socktest.Status(500)
		}
		return socktest.Status(200)
	})
	env.tune = func(config map[string]any) {
		config["limits"].(map[string]any)["sockets"] = maxDescriptors
		config["settings"].(map[string]any)["guarantees"].(map[string]any)["must-ask-in-ms"] = 500
	}
	env.configure(env.firstAddr)
	c := env.start()
	limitDescriptors(t, c.Process.Pid, maxDescriptors)
	receive(t, env.polls)
	receive(t, env.polls) // the watch: the list has come
	env.discoveryDown.Store(true)
	body := strings.Repeat("x", 60<<10)
	segments := map[string]bool{}
	var waited time.Duration // by new clients, in all
	for round := range 6 {
		waited += connectIdleClients(t, env, round)
		waited += submitLarge(t, env, round, body)
		list, _ := filepath.Glob(filepath.Join(env.stateFolder, "*.log"))
		for _, name := range list {
			segments[name] = true
		}
	}
	// Where nobody makes room, those behind wait until silent ones have been so for 2 s: some 70 s in all.
	if waited > 20*time.Second {
		t.Errorf("new clients waited %v", waited)
	}
	if len(segments) < 2 {
		t.Errorf("the write-ahead log was never in another segment: %v", segments)
	}
	for len(env.polls) > 0 {
		<-env.polls
	}
	env.discoveryDown.Store(false)
	receive(t, env.polls)
	if got := env.roundTrip(healthRequest); got != 200 {
		t.Errorf("health: %d", got)
	}
	env.submit("safe", "last")
	if id := receive(t, env.calls); id != "last" {
		t.Errorf("%s reached the target", id)
	}
}

// connectIdleClients connects forty clients that stay, of which every other one asks once. It returns how long those
// waited.
func connectIdleClients(t *testing.T, env *environment, round int) (waited time.Duration) {
	t.Helper()
	for i := range 40 {
		conn := env.connectClient()
		if i%2 == 1 {
			sentAt := time.Now()
			if got := exchange(conn, bufio.NewReader(conn), healthRequest); got != 200 {
				t.Fatalf("round %d, connection %d: health %d", round, i, got)
			}
			waited += time.Since(sentAt)
		}
	}
	return waited
}

// submitLarge submits a safe and an unsafe message with a body. Both must be accepted and reach the target, and the
// unsafe one be reported undeliverable. It returns how long the clients waited.
func submitLarge(t *testing.T, env *environment, round int, body string) (waited time.Duration) {
	t.Helper()
	for _, class := range []string{"safe", "unsafe"} {
		id, submittedAt := fmt.Sprint(class[:1], round), time.Now()
		if got := env.roundTrip(messageRequest(class, id, body)); got != 202 {
			t.Fatalf("%s: %d", id, got)
		}
		waited += time.Since(submittedAt)
		if got := receive(t, env.calls); got != id {
			t.Fatalf("%s reached the target, want %s", got, id)
		}
	}
	want := fmt.Sprintf("{\"id\":\"u%d\",\"status\":\"undeliverable\"}\n", round)
	if got := receive(t, env.notices); got != want {
		t.Errorf("notice %q, want %q", got, want)
	}
	return waited
}

// TestNoFreeDescriptors leaves no descriptor for a while, neither for a client, a target nor the write-ahead log: what
// was accepted meanwhile is delivered afterwards, the rest was rejected, and the process neither ends nor spins.
func TestNoFreeDescriptors(t *testing.T) {
	t.Parallel()
	env := newEnvironment(t, func(string) string { return socktest.Status(200) })
	c := env.start()
	client := env.connectClient()
	in := bufio.NewReader(client)
	if got := exchange(client, in, healthRequest); got != 200 {
		t.Fatalf("health: %d", got)
	}
	limitDescriptors(t, c.Process.Pid, 0)
	before, began := processorTime(t, c.Process.Pid), time.Now()
	accepted := map[string]bool{}
	rejected := 0
	body := strings.Repeat("x", 60<<10)
	for i := range 24 { // more than a segment holds, and than the folder may hold of messages
		id := fmt.Sprint("s", i)
		switch got := exchange(client, in, messageRequest("safe", id, body)); got {
		case 202:
			accepted[id] = true
		case 500, 503:
			rejected++
		default:
			t.Fatalf("%s: %d", id, got)
		}
	}
	late := env.connectClient() // waits in the queue
	time.Sleep(500 * time.Millisecond)
	processorUsed, elapsed := processorTime(t, c.Process.Pid)-before, time.Since(began)
	limitDescriptors(t, c.Process.Pid, 256)
	if len(accepted) == 0 || len(env.calls) > 0 {
		t.Errorf("%d accepted, %d rejected, %d calls", len(accepted), rejected, len(env.calls))
	}
	for len(accepted) > 0 {
		delete(accepted, receive(t, env.calls))
	}
	if got := exchange(late, bufio.NewReader(late), healthRequest); got != 200 {
		t.Errorf("health: %d", got)
	}
	for until := time.Now().Add(20 * time.Second); ; time.Sleep(50 * time.Millisecond) {
		if got := env.roundTrip(messageRequest("safe", "last", "hi")); got == 202 {
			break
		} else if got != 503 || time.Now().After(until) {
			t.Fatalf("afterwards: %d", got)
		}
	}
	if id := receive(t, env.calls); id != "last" {
		t.Errorf("%s reached the target", id)
	}
	if processorUsed > elapsed*3/4 {
		t.Errorf("%v of the processor in %v without descriptors", processorUsed, elapsed)
	}
}

// processorTime returns the processor time that a process has used.
func processorTime(t *testing.T, pid int) time.Duration {
	t.Helper()
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	must(t, err)
	_, rest, _ := strings.Cut(string(text), ") ")
	var user, system int64
	fields := strings.Fields(rest)
	fmt.Sscan(fields[11]+" "+fields[12], &user, &system)
	return time.Duration(user+system) * 10 * time.Millisecond
}

// TestReadyWhilePlatformSilent kills a sender with messages owed and starts it while the platform answers nothing at
// all: readiness waits for nothing of it, and the sender delivers what it owes and what came since once discovery
// answers again.
func TestReadyWhilePlatformSilent(t *testing.T) {
	t.Parallel()
	var answers bool
	env := newEnvironment(t, func(string) string {
		if !answers {
			return socktest.Hang
		}
		return socktest.Status(200)
	})
	c := env.start()
	env.submit("safe", "owed")
	receive(t, env.calls)
	env.kill(c)
	answers = true
	env.platformSilent.Store(true)
	began := time.Now()
	c = env.start()
	if took := time.Since(began); took > 10*time.Second {
		t.Errorf("ready after %v", took)
	}
	c.Process.Signal(syscall.SIGHUP) // the same file once more: nothing of it waits, either
	if got := env.roundTrip(healthRequest); got != 200 {
		t.Errorf("health: %d", got)
	}
	env.platformSilent.Store(false)
	if id := receive(t, env.calls); id != "owed" {
		t.Errorf("%s was called", id)
	}
	env.submit("safe", "new")
	if id := receive(t, env.calls); id != "new" {
		t.Errorf("%s was called", id)
	}
}

// TestHundredStartWhileDiscoverySilent starts a hundred senders of one platform together while discovery takes their
// polls and answers none: nine in ten are ready within 10 s, all before it answers, and each delivers once it does.
func TestHundredStartWhileDiscoverySilent(t *testing.T) {
	const senders = 100
	env := newEnvironment(t, func(string) string { return socktest.Status(200) })
	env.tune = func(config map[string]any) { config["settings"].(map[string]any)["siblings"] = senders }
	env.platformSilent.Store(true)
	go func() { // nobody counts the questions
		for {
			select {
			case <-env.polls:
			case <-t.Context().Done():
				return
			}
		}
	}()
	began := time.Now()
	readyAfter := make([]time.Duration, senders)
	senderEnvs := make([]*environment, senders)
	for i := range senderEnvs {
		senderEnvs[i] = env.addSender()
		senderEnvs[i].startProcess()
	}
	var wg sync.WaitGroup
	for i, x := range senderEnvs {
		wg.Go(func() {
			for until := began.Add(60 * time.Second); time.Now().Before(until); time.Sleep(20 * time.Millisecond) {
				if x.roundTrip(healthRequest) == 200 {
					readyAfter[i] = time.Since(began)
					return
				}
			}
		})
	}
	wg.Wait()
	slices.Sort(readyAfter)
	if readyAfter[0] == 0 || readyAfter[senders*9/10-1] > 10*time.Second {
		t.Fatalf("nine in ten ready within %v, all within %v; 0 = never", readyAfter[senders*9/10-1], readyAfter[senders-1])
	}
	t.Logf("nine in ten ready within %v, all within %v", readyAfter[senders*9/10-1], readyAfter[senders-1])
	undelivered := map[string]bool{}
	for i, x := range senderEnvs {
		id := fmt.Sprint("s", i)
		x.submit("safe", id)
		undelivered[id] = true
	}
	env.platformSilent.Store(false)
	for len(undelivered) > 0 {
		delete(undelivered, receive(t, env.calls))
	}
}
