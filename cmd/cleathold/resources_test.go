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

// limitDescriptors limits the number of file descriptors of a process.
func limitDescriptors(t *testing.T, pid int, limit uint64) {
	t.Helper()
	must(t, unix.Prlimit(pid, unix.RLIMIT_NOFILE, &unix.Rlimit{Cur: limit, Max: 1024}, nil))
}

// TestIdleClientsWhileDiscoveryIsDown connects more idle clients than there are file descriptors while discovery is
// down. Some clients send nothing, others send one request and stay connected. Messages must still be accepted, reach
// their targets and be written to new segments of the write-ahead log, and delivery reports must reach the platform.
// When discovery recovers, it must be polled.
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
	receive(t, env.polls) // the second poll shows that the list was received
	env.discoveryDown.Store(true)
	body := strings.Repeat("x", 60<<10)
	segments := map[string]bool{}
	var waited time.Duration // total waiting time of new clients
	for round := range 6 {
		waited += connectIdleClients(t, env, round)
		waited += submitLarge(t, env, round, body)
		list, _ := filepath.Glob(filepath.Join(env.stateFolder, "*.log"))
		for _, name := range list {
			segments[name] = true
		}
	}
	// Unless idle connections are closed for new clients, these wait until silent connections time out after 2 s, which
	// takes about 70 s in total.
	if waited > 20*time.Second {
		t.Errorf("new clients waited %v", waited)
	}
	if len(segments) < 2 {
		t.Errorf("the write-ahead log has not started another segment: %v", segments)
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

// connectIdleClients connects forty clients that stay connected. Every other one sends one request. It returns the
// total time that these waited for a response.
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
// unsafe one must be reported as undeliverable. It returns the total time that the clients waited.
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
	if got := receive(t, env.reports); got != want {
		t.Errorf("delivery report %q, want %q", got, want)
	}
	return waited
}

// TestNoFreeDescriptors leaves a process without free file descriptors for a while, so that it can't accept clients,
// connect to targets or open segments. Messages that it accepted meanwhile must be delivered afterwards, and all others
// must be rejected. The process must neither exit nor run a busy loop.
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
	for i := range 24 { // more than fit into a segment, and more than the folder may hold
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
	late := env.connectClient() // waits in the accept queue
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
		t.Errorf("%v of processor time in %v without descriptors", processorUsed, elapsed)
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

// TestReadyWhilePlatformSilent kills a sender with a pending message and restarts it while the platform does not
// respond. The sender must become ready without the platform, and must deliver pending and new messages once discovery
// responds again.
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
	c.Process.Signal(syscall.SIGHUP) // a reload of the same file must not wait for the platform either
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

// TestHundredStartWhileDiscoverySilent starts a hundred senders of one platform at the same time while discovery
// accepts polls but does not respond. Nine in ten must be ready within 10 s, and all before discovery responds. Each
// must deliver once it does.
func TestHundredStartWhileDiscoverySilent(t *testing.T) {
	const senders = 100
	env := newEnvironment(t, func(string) string { return socktest.Status(200) })
	env.tune = func(config map[string]any) { config["settings"].(map[string]any)["siblings"] = senders }
	env.platformSilent.Store(true)
	go func() { // discards the polls
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
