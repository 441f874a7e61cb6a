// The processes of the system. They are signalled only by the IDs of processes started here.

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
	// domainCount is the number of failure domains. Each has one control replica and
	// one entry.
	domainCount = 3

	httpPort    = 8080
	peerPort    = 9090
	gatewayPort = 8081

	// rolloutShare, rolloutSlack and rollbackSpan are the settings of rollouts.
	rolloutShare = 0.1
	rolloutSlack = 50
	rollbackSpan = 5 * time.Second

	// stopSpan is the entries' stop_span setting.
	stopSpan = 3 * time.Second
	// stopLimit is how long a stop may take: the 30 s (reserve_span) for which a
	// stopping entry continues to serve if no other entry serves, the maximum age
	// of addresses, and a margin.
	stopLimit = time.Minute
)

var (
	domains = []string{"nord", "sud", "ouest"}
)

type (
	// process is one process of the system, which may be restarted.
	process struct {
		binary, folder string
		settings       settings.Settings

		lock    sync.Mutex
		command *exec.Cmd
		exited  chan struct{}
	}
)

// newProcess returns a process, not yet started, with an IP address of its own.
func newProcess(binary, folder, ip, name, domain string, controlAddresses []string) *process {
	return &process{binary: binary, folder: folder, settings: settings.Settings{
		Name: name, FailureDomain: domain, Region: domain, LogLevel: "info",
		HTTPAddress: fmt.Sprintf("%s:%d", ip, httpPort), PeerAddress: fmt.Sprintf("%s:%d", ip, peerPort), ControlReplicas: controlAddresses,
		Rollouts: &settings.Rollouts{Share: rolloutShare, Slack: rolloutSlack, RollbackSpan: duration.Of(rollbackSpan)},
	}}
}

// configureControl gives the process the role of a control replica.
func (process *process) configureControl() {
	process.settings.Control = &settings.Control{DataFolder: filepath.Join(process.folder, process.settings.Name), SelfManaged: true}
}

// configureEntry gives the process the role of an entry, with a gateway for HTTP routes.
func (process *process) configureEntry(ip string) {
	process.settings.Entry = true
	process.settings.Gateway = &settings.Gateway{
		Address: fmt.Sprintf("%s:%d", ip, gatewayPort), Regions: map[string]string{"nord": "nord", "sud": "sud", "ouest": "ouest"},
		RetryRatio: retryRatio, RetrySlack: retrySlack, RetryWindow: duration.Of(retryWindow), StopSpan: duration.Of(stopSpan),
	}
}

// start starts the process, which must not be running.
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
	command := exec.CommandContext(context.Background(), process.binary, "serve", "--settings", path) //nolint:gosec // the program under test
	command.Stdout, command.Stderr = log, log
	if err := command.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	go func() {
		_ = command.Wait() // the process logs why it ended
		_ = log.Close()
		close(exited)
	}()
	process.lock.Lock()
	defer process.lock.Unlock()
	process.command, process.exited = command, exited
	return nil
}

func (process *process) signal(signal syscall.Signal) {
	process.lock.Lock()
	defer process.lock.Unlock()
	_ = process.command.Process.Signal(signal) // fails if the process has ended
}

// awaitExit waits until the process has ended, and reports whether it did within the limit.
func (process *process) awaitExit(limit time.Duration) bool {
	process.lock.Lock()
	exited := process.exited
	process.lock.Unlock()
	select {
	case <-exited:
		return true
	case <-time.After(limit):
		return false
	}
}

// kill sends SIGKILL to the process and waits until it has ended.
func (process *process) kill() {
	process.signal(syscall.SIGKILL)
	process.awaitExit(stopLimit)
}
