// The processes of a small deployment: the project's own program with the command of the deploy file, one loopback address a
// machine.

package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	frontendPort  = 8226
	readyPort     = 8227
	controlPort   = 8224
	directoryPort = 8225
	firstPort     = 7740
	metricsPort   = 9464
	// restartDelay is the delay after which the platform starts a process again.
	restartDelay = 300 * time.Millisecond
	// The bounds of the site banaag-search.
	heartbeatInterval = 1200 * time.Millisecond
	contactSpan       = 5 * time.Second
	drainSpan         = 3 * time.Second
	recoverySpan      = 12 * time.Second
)

type (
	// record writes what was sent, answered and run.
	record struct {
		lock    sync.Mutex
		file    *os.File
		started time.Time
	}

	// machine runs one process of the system.
	machine struct {
		system          *system
		name, zone, ip  string
		control         bool
		folder          string
		command         *exec.Cmd
		exited          chan struct{}
		expected        bool
		lock            sync.Mutex
		startedAt       time.Time
		unexpectedExits int
	}

	system struct {
		record   *record
		folder   string
		prefix   string
		controls []*machine
		fronts   []*machine
		client   *http.Client
	}
)

var zones = []string{"luzon-valenzuela", "visayas-mandaue", "mindanao-davao"}

var regions = map[string]string{"luzon-valenzuela": "luzon", "visayas-mandaue": "visayas", "mindanao-davao": "mindanao"}

func newRecord(path string) *record {
	file, err := os.Create(path)
	if err != nil {
		cannotRun("create the record: %v", err)
	}
	return &record{file: file, started: time.Now()}
}

func (record *record) write(format string, arguments ...any) {
	record.lock.Lock()
	defer record.lock.Unlock()
	_, _ = fmt.Fprintf(record.file, "%8.3f %s\n", time.Since(record.started).Seconds(), fmt.Sprintf(format, arguments...))
}

// cannotRun ends the program because the case couldn't run.
func cannotRun(format string, arguments ...any) {
	panic(notRun(fmt.Sprintf(format, arguments...)))
}

type notRun string

// freePrefix returns the first three bytes of loopback addresses whose ports are free.
func freePrefix() string {
	for range 100 {
		prefix := fmt.Sprintf("127.%d.%d.", 16+rand.IntN(200), 1+rand.IntN(250))
		free := true
		for host := 1; host <= 12 && free; host++ {
			for _, port := range []int{frontendPort, readyPort, controlPort, directoryPort, firstPort, firstPort + 1, metricsPort} {
				listener, err := net.Listen("tcp", fmt.Sprintf("%s%d:%d", prefix, host, port))
				if err != nil {
					free = false
					break
				}
				_ = listener.Close()
			}
		}
		if free {
			return prefix
		}
	}
	cannotRun("no free loopback addresses")
	return ""
}

// newSystem starts a core of three machines and the given number of front machines.
func newSystem(record *record, folder string, frontCount int) *system {
	system := &system{record: record, folder: folder, prefix: freePrefix(), client: &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}}
	for index, zone := range zones {
		system.controls = append(system.controls, &machine{system: system, name: "core-" + zone + "-1", zone: zone, ip: fmt.Sprintf("%s%d", system.prefix, 1+index), control: true})
	}
	for index := range frontCount {
		zone := zones[index%len(zones)]
		system.fronts = append(system.fronts, &machine{system: system, name: fmt.Sprintf("frontend-%s-%d", zone, 1+index/len(zones)), zone: zone, ip: fmt.Sprintf("%s%d", system.prefix, 4+index)})
	}
	for _, machine := range system.machines() {
		machine.folder = filepath.Join(folder, machine.name)
		if err := os.MkdirAll(filepath.Join(machine.folder, "data"), 0o700); err != nil {
			cannotRun("make a folder: %v", err)
		}
		machine.start(true)
	}
	return system
}

func (system *system) machines() []*machine {
	return append(append([]*machine(nil), system.controls...), system.fronts...)
}

func (machine *machine) settings(bootstrap bool) string {
	system := machine.system
	var seeds []string
	for _, control := range system.controls {
		seeds = append(seeds, fmt.Sprintf("%q", fmt.Sprintf("%s:%d", control.ip, controlPort)))
	}
	class, serves, listen, limits := "frontend", `["frontend","directory"]`, fmt.Sprintf("frontend = \"%[1]s:%[2]d\"\nready = \"%[1]s:%[3]d\"\ndirectory = \"%[1]s:%[4]d\"\n", machine.ip, frontendPort, readyPort, directoryPort), "memory-mb = 284\nmax-fds = 4100\n"
	data := ""
	if machine.control {
		class, serves, listen, limits = "core", `["control"]`, fmt.Sprintf("control = \"%s:%d\"\n", machine.ip, controlPort), "memory-mb = 280\nmax-fds = 4096\n"
		data = fmt.Sprintf("data-dir = %q\n", filepath.Join(machine.folder, "data"))
	}
	return fmt.Sprintf("node-name = %q\nrole = \"my-%s\"\nmachine-class = %q\nserves = %s\nip = %q\nzone = %q\nregion = %q\ninternal-ports = [%d,%d]\nseeds = [%s]\nbootstrap = %t\nin-tolerance = %t\n%s",
		machine.name, class, class, serves, machine.ip, machine.zone, regions[machine.zone], firstPort, firstPort+15, strings.Join(seeds, ","), bootstrap, machine.control, data) +
		"discovery = \"registry\"\nentry = \"directory\"\nheartbeat-ms = 1200\ncontracts = [\"base\",\"drain\",\"config\",\"cost\",\"retry\",\"recover\",\"scatter\",\"places\",\"tenants\",\"quota\"]\nconfig_mode = \"highest\"\n" +
		"[zones]\nluzon-valenzuela = \"luzon\"\nvisayas-mandaue = \"visayas\"\nmindanao-davao = \"mindanao\"\n[listen]\n" + listen + "[limits]\n" + limits +
		"[fault-tolerance]\nmachines = 1\nzones = 1\nregions = 1\n" +
		"[bounds]\nseed-lag-s = 3\nreuse-after-s = 2\ncontact-ms = 5000\nack-ms = 6000\ncatch-up-s = 4\ndrain-ms = 3000\ngrace-s = 6\nloss-slack-ms = 200\nconfig-apply-ms = 3000\nrollback-slack-ms = 250\nmax-skew-ms = 15000\n" +
		"retry-budget-ratio = 0.2\nbudget-window-s = 10\nbudget-slack = 56\nwarmup-multiplier = 1.5\nwarmup-slack = 5\nevacuate-ms = 5000\nrecovery-s = 12\nttl_max_s = 5\n" +
		"strict-revoke = false\nrevoke-ms = 5000\nquota-window-s = 5\nquota-overage = 0.1\nquota-slack = 20\n"
}

// start starts the machine's process.
func (machine *machine) start(bootstrap bool) {
	path := filepath.Join(machine.folder, "boot.toml")
	if err := os.WriteFile(path, []byte(machine.settings(bootstrap)), 0o600); err != nil {
		cannotRun("write the settings: %v", err)
	}
	log, err := os.OpenFile(filepath.Join(machine.folder, "log.txt"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		cannotRun("open a log: %v", err)
	}
	command := exec.Command("target/comfreythread-platform")
	command.Env = []string{"COMFREYTHREAD_CONFIG=" + path, "PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=C.UTF-8"}
	command.Stdout, command.Stderr = log, log
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := command.Start(); err != nil {
		cannotRun("start %s: %v; build with the deploy file's line first", machine.name, err)
	}
	exited := make(chan struct{})
	machine.lock.Lock()
	machine.command, machine.exited, machine.expected, machine.startedAt = command, exited, false, time.Now()
	machine.lock.Unlock()
	machine.system.record.write("%s starts (bootstrap %t)", machine.name, bootstrap)
	go func() {
		err := command.Wait()
		_ = log.Close()
		machine.lock.Lock()
		if !machine.expected {
			machine.unexpectedExits++
		}
		machine.system.record.write("%s has ended: %v (by itself: %t)", machine.name, err, !machine.expected)
		machine.lock.Unlock()
		close(exited)
	}()
}

// end sends a signal that ends the process, and waits for its end.
func (machine *machine) end(signal syscall.Signal) {
	machine.lock.Lock()
	machine.expected = true
	command, exited := machine.command, machine.exited
	machine.lock.Unlock()
	machine.system.record.write("%s gets signal %v", machine.name, signal)
	_ = command.Process.Signal(signal)
	select {
	case <-exited:
	case <-time.After(6 * time.Second):
		_ = command.Process.Kill()
		<-exited
	}
}

// wipe empties the data folder of a machine that doesn't run.
func (machine *machine) wipe() {
	data := filepath.Join(machine.folder, "data")
	if err := os.RemoveAll(data); err != nil {
		cannotRun("empty a data folder: %v", err)
	}
	if err := os.MkdirAll(data, 0o700); err != nil {
		cannotRun("make a data folder: %v", err)
	}
	machine.system.record.write("%s has lost its disk", machine.name)
}

// stop ends all processes.
func (system *system) stop() {
	for _, machine := range system.machines() {
		machine.lock.Lock()
		machine.expected = true
		command := machine.command
		machine.lock.Unlock()
		if command != nil && command.Process != nil {
			_ = command.Process.Kill()
		}
	}
	for _, machine := range system.machines() {
		if machine.exited != nil {
			<-machine.exited
		}
	}
}

// order sends an order of the operator to the control machines in turn until one acknowledges it.
func (system *system) order(method, path string, body []byte, span time.Duration) *machine {
	until := time.Now().Add(span)
	for number := rand.IntN(len(system.controls)); time.Now().Before(until); number++ {
		control := system.controls[number%len(system.controls)]
		status, err := system.call(control, method, path, body)
		system.record.write("operator: %s %s to %s: status %d %v", method, path, control.name, status, errorText(err))
		if err == nil && status/100 == 2 {
			return control
		}
		time.Sleep(100 * time.Millisecond)
	}
	return nil
}

func errorText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}

// call makes one call to a control machine.
func (system *system) call(control *machine, method, path string, body []byte) (int, error) {
	request, err := http.NewRequest(method, fmt.Sprintf("http://%s:%d%s", control.ip, controlPort, path), bytes.NewReader(body))
	if err != nil {
		return 0, err
	}
	if len(body) > 0 {
		request.Header.Set("Content-Type", "application/json")
	}
	response, err := system.client.Do(request)
	if err != nil {
		return 0, err
	}
	defer func() { _ = response.Body.Close() }()
	_, _ = io.Copy(io.Discard, io.LimitReader(response.Body, 4<<10))
	return response.StatusCode, nil
}

// awaitReady waits until all front machines are ready.
func (system *system) awaitReady(span time.Duration) {
	until := time.Now().Add(span)
	for _, front := range system.fronts {
		for !front.ready() {
			if time.Now().After(until) {
				cannotRun("%s isn't ready", front.name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	system.record.write("all front machines are ready")
}

func (machine *machine) ready() bool {
	response, err := machine.system.client.Get(fmt.Sprintf("http://%s:%d/v1/readiness", machine.ip, readyPort))
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

func encode(document any) []byte {
	encoded, err := json.Marshal(document)
	if err != nil {
		cannotRun("encode: %v", err)
	}
	return encoded
}
