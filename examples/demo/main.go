// Command demo shows the main job once, from the root of the repository: it builds the sender and the toy environment,
// starts both, submits one message and follows it to its outcome. It exits with 0 only if the message was seen at its
// endpoint and the sender owes nothing any more.
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
		return fmt.Errorf("build, from the root of the repository: %w", err)
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
		return fmt.Errorf("the sender did not stop in order: %w", err)
	}
	pending, err := exec.Command(filepath.Join(dir, "cleathold"), "pending", state).Output()
	if err != nil || strings.TrimSpace(string(pending)) != "0 pending" {
		return fmt.Errorf("the sender still owes: %s %v", pending, err)
	}
	fmt.Println("4. the sender has stopped in order and owes nothing: 0 pending")
	return nil
}

// awaitReady waits until the sender may be used.
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
	return errors.New("no sender at 127.0.0.1:8080: are the ports 8080, 8500 and 9001 to 9003 free?")
}

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
		return fmt.Errorf("submitted: %s %s", answer.Status, text)
	}
	return nil
}

// awaitCall reads what the toy prints until it tells of the message.
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
	return "", errors.New("the message never reached its endpoint")
}

// stop ends a process in order; a second time does nothing.
func stop(c *exec.Cmd) error {
	if c.ProcessState != nil {
		return nil
	}
	c.Process.Signal(syscall.SIGTERM)
	return c.Wait()
}
