// Command demo demonstrates the delivery of one message. Run it in the root of the repository. It builds and starts the
// sender and the toy environment, submits a message and waits for its outcome. It exits with 0 only if the message has
// reached its endpoint and no message is pending at the sender.
package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

const (
	senderURL = "http://127.0.0.1:8080"
	messageID = "demo-1"
	timeout   = 20 * time.Second
)

func main() {
	if err := run(); err != nil {
		fmt.Fprintln(os.Stderr, "demo:", err)
		os.Exit(1)
	}
}

func run() error {
	deadline := time.Now().Add(timeout)
	dir, err := os.MkdirTemp("", "cleathold-demo-")
	if err != nil {
		return err
	}
	defer os.RemoveAll(dir)
	build := exec.Command("go", "build", "-o", dir+string(filepath.Separator), "./cmd/cleathold", "./examples/toy")
	build.Stderr = os.Stderr
	if err := build.Run(); err != nil {
		return fmt.Errorf("build (run this in the root of the repository): %w", err)
	}
	state := filepath.Join(dir, "state")
	toy := exec.Command(filepath.Join(dir, "toy"))
	toyLog, err := toy.StderrPipe()
	if err != nil {
		return err
	}
	if err := toy.Start(); err != nil {
		return err
	}
	defer stop(toy)
	serve := exec.Command(filepath.Join(dir, "cleathold"), "serve", "--config", "examples/config.json")
	serve.Env = append(os.Environ(), "LB_STATE="+state, "LB_LISTEN=127.0.0.1:8080")
	if err := serve.Start(); err != nil {
		return err
	}
	defer stop(serve)
	if err := awaitReady(deadline); err != nil {
		return err
	}
	fmt.Println("1. the sender answers", senderURL+"/_health")
	if err := submit(); err != nil {
		return err
	}
	fmt.Println("2. message", messageID, "for destination 1 submitted, answered 202: accepted")
	line, err := awaitCall(toyLog, deadline)
	if err != nil {
		return err
	}
	fmt.Println("3. its endpoint received it:", line)
	if err := stop(serve); err != nil {
		return fmt.Errorf("the sender did not stop cleanly: %w", err)
	}
	pending, err := exec.Command(filepath.Join(dir, "cleathold"), "pending", state).Output()
	if err != nil || strings.TrimSpace(string(pending)) != "0 pending" {
		return fmt.Errorf("messages are still pending: %s %v", pending, err)
	}
	fmt.Println("4. the sender has stopped in order and owes nothing: 0 pending")
	return nil
}

// awaitReady waits until the sender is ready.
func awaitReady(limit time.Time) error {
	for time.Now().Before(limit) {
		if r, err := http.Get(senderURL + "/_health"); err == nil {
			r.Body.Close()
			if r.StatusCode == http.StatusOK {
				return nil
			}
		}
		time.Sleep(20 * time.Millisecond)
	}
	return errors.New("the sender at 127.0.0.1:8080 is not ready: are the ports 8080, 8500 and 9001 to 9003 free?")
}

// submit submits the message and checks that it is accepted.
func submit() error {
	r, err := http.NewRequest(http.MethodPost, senderURL+"/status", strings.NewReader("hello"))
	if err != nil {
		return err
	}
	for name, value := range map[string]string{
		"X-Request-Id": messageID, "X-Tenant": "school-bands", "X-Deadline": "8.0", "X-Addressing": "dest=1",
	} {
		r.Header.Set(name, value)
	}
	answer, err := http.DefaultClient.Do(r)
	if err != nil {
		return err
	}
	defer answer.Body.Close()
	if answer.StatusCode != http.StatusAccepted {
		text, _ := io.ReadAll(answer.Body)
		return fmt.Errorf("submit: %s %s", answer.Status, text)
	}
	return nil
}

// awaitCall reads the log of the toy environment until it contains the message, and returns that line.
func awaitCall(toy io.Reader, limit time.Time) (string, error) {
	found := make(chan string, 1)
	go func() {
		defer close(found)
		for lines := bufio.NewScanner(toy); lines.Scan(); {
			if strings.Contains(lines.Text(), messageID) {
				found <- lines.Text()
				return
			}
		}
	}()
	select {
	case line, ok := <-found:
		if ok {
			return line, nil
		}
	case <-time.After(time.Until(limit)):
	}
	return "", errors.New("the message did not reach its endpoint in time")
}

// stop terminates a process and waits until it has exited. If the process has already exited, stop does nothing.
func stop(c *exec.Cmd) error {
	if c.ProcessState != nil {
		return nil
	}
	c.Process.Signal(syscall.SIGTERM)
	return c.Wait()
}
