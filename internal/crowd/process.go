// Processes under test and what the operating system says of them.

package crowd

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"os"
	"os/exec"
	"strconv"
	"strings"
	"time"

	"github.com/go-faster/errors"
)

const (
	// peakReset is the value of clear_refs that resets the peak of the resident memory.
	peakReset = "5"
	exitLimit = 10 * time.Second
)

type (
	// Process is a running process of the system.
	Process struct {
		command *exec.Cmd
		exited  chan struct{}
	}
)

// Start runs a program with additional environment variables. A descriptor limit above 0 replaces the limit of this process.
func Start(program string, arguments, environment []string, descriptorLimit int, output io.Writer) (*Process, error) {
	command := exec.CommandContext(context.Background(), program, arguments...) //nolint:gosec // the program under test
	if descriptorLimit > 0 {
		shell := append([]string{"-c", fmt.Sprintf(`ulimit -n %d && exec "$0" "$@"`, descriptorLimit), program}, arguments...)
		command = exec.CommandContext(context.Background(), "/bin/sh", shell...) //nolint:gosec // the program under test
	}
	command.Env = append(os.Environ(), environment...)
	command.Stdout, command.Stderr = output, output
	if err := command.Start(); err != nil {
		return nil, errors.Wrap(err, "start the process")
	}
	process := &Process{command: command, exited: make(chan struct{})}
	go func() {
		_ = command.Wait() // the log says why the process has ended
		close(process.exited)
	}()
	return process, nil
}

// Stop kills the process and waits until it has ended.
func (process *Process) Stop() {
	_ = process.command.Process.Kill() // fails if the process has ended
	select {
	case <-process.exited:
	case <-time.After(exitLimit):
	}
}

// Alive reports whether the process still runs.
func (process *Process) Alive() bool {
	select {
	case <-process.exited:
		return false
	default:
		return true
	}
}

// resetPeak makes peakBytes return the greatest resident memory from now on.
func (process *Process) resetPeak() error {
	return os.WriteFile(process.file("clear_refs"), []byte(peakReset), 0)
}

// peakBytes returns the greatest resident memory of the process.
func (process *Process) peakBytes() (int64, error) {
	status, err := os.ReadFile(process.file("status"))
	if err != nil {
		return 0, err
	}
	for line := range bytes.Lines(status) {
		name, value, _ := strings.Cut(string(line), ":")
		if name == "VmHWM" {
			kilobytes, err := strconv.ParseInt(strings.TrimSuffix(strings.TrimSpace(value), " kB"), 10, 64)
			return kilobytes << 10, err
		}
	}
	return 0, errors.New("the status of the process has no VmHWM")
}

// Descriptors returns the number of open file descriptors.
func (process *Process) Descriptors() (int, error) {
	entries, err := os.ReadDir(process.file("fd"))
	return len(entries), err
}

func (process *Process) file(name string) string {
	return fmt.Sprintf("/proc/%d/%s", process.command.Process.Pid, name)
}
