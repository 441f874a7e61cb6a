// The processes of the system, started and ended by their IDs alone.

package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/go-faster/errors"

	"gitlab.com/comfreythread/comfreythread/internal/settings"
	"gitlab.com/comfreythread/comfreythread/pkg/duration"
)

const (
	members = 3

	httpPort    = 8080
	peerPort    = 9090
	gatewayPort = 8081

	stopSpan = 3 * time.Second
	// stopLimit is how long a stop may take: the reserve of 30 s, the addresses'
	// age and room.
	stopLimit = time.Minute
)

var (
	domains = []string{"nord", "sud", "ouest"}
)

type (
	// process is one process of the system, which may end and start again.
	process struct {
		binary, folder string
		settings       settings.Settings

		lock    sync.Mutex
		command *exec.Cmd
		ended   chan struct{}
	}
)

// newProcess describes a process at an IP address of its own.
func newProcess(binary, folder, ip, name, domain string, controls []string) *process {
	return &process{binary: binary, folder: folder, settings: settings.Settings{
		Name: name, FailureDomain: domain, Region: domain, LogLevel: "info",
		HTTPAddress: fmt.Sprintf("%s:%d", ip, httpPort), PeerAddress: fmt.Sprintf("%s:%d", ip, peerPort), ControlReplicas: controls,
	}}
}

func (process *process) beControl() {
	process.settings.Control = &settings.Control{DataFolder: filepath.Join(process.folder, process.settings.Name), SelfManaged: true}
}

func (process *process) beEntry(ip string) {
	process.settings.Entry = true
	process.settings.Gateway = &settings.Gateway{
		Address: fmt.Sprintf("%s:%d", ip, gatewayPort), Regions: map[string]string{"nord": "nord", "sud": "sud", "ouest": "ouest"},
		RetryRatio: retryRatio, RetrySlack: retrySlack, RetryWindow: duration.Of(retryWindow), StopSpan: duration.Of(stopSpan),
	}
}

// start starts the process, which must not run.
func (process *process) start() error {
	data, err := json.Marshal(&process.settings)
	if err != nil {
		return errors.Wrap(err, "encode settings")
	}
	path := filepath.Join(process.folder, process.settings.Name+".json")
	if err := os.WriteFile(path, data, 0o600); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(process.folder, process.settings.Name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	command := exec.CommandContext(context.Background(), process.binary, "serve", "--settings", path) //nolint:gosec // the program that is soaked
	command.Stdout, command.Stderr = log, log
	if err := command.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	go func() {
		_ = command.Wait() // how it ended is in its log
		_ = log.Close()
		close(ended)
	}()
	process.lock.Lock()
	defer process.lock.Unlock()
	process.command, process.ended = command, ended
	return nil
}

func (process *process) signal(signal syscall.Signal) {
	process.lock.Lock()
	defer process.lock.Unlock()
	_ = process.command.Process.Signal(signal) // one that has ended takes none
}

// await waits until the process has ended, and reports whether it did in time.
func (process *process) await(limit time.Duration) bool {
	process.lock.Lock()
	ended := process.ended
	process.lock.Unlock()
	select {
	case <-ended:
		return true
	case <-time.After(limit):
		return false
	}
}

// kill ends the process at once.
func (process *process) kill() {
	process.signal(syscall.SIGKILL)
	process.await(stopLimit)
}
