package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
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
	metricsPort   = 9464
	firstPeerPort = 7740

	contactSpan = 5 * time.Second
	drainSpan   = 3 * time.Second
	evacuateMax = 5 * time.Second
)

var (
	zones = []string{"nord-a", "sud-a", "ouest-a"}
	// started holds the processes that were started and haven't ended, by ID.
	started sync.Map
)

type (
	// machine is one machine of the deployment, with the process that runs on it.
	machine struct {
		name, class, zone, ip string
		settings              string
		command               *exec.Cmd
		done                  chan struct{}
		stopping              bool
	}

	// system is a deployment on loopback addresses.
	system struct {
		record    *record
		folder    string
		root      string
		cores     []*machine
		frontends []*machine
		client    *http.Client
		lock      sync.Mutex
	}

	// layout gives the number of frontends and cores in each zone.
	layout struct {
		frontends, cores []int
		grace            float64
	}

	// record writes what was sent, answered and run.
	record struct {
		lock    sync.Mutex
		file    *os.File
		started time.Time
	}
)

func newRecord() *record {
	path := os.Getenv("RECORD")
	if path == "" {
		path = "record.txt"
	}
	file, err := os.Create(path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(2)
	}
	return &record{file: file, started: time.Now()}
}

// note writes a line with the seconds since the start.
func (record *record) note(format string, values ...any) {
	record.lock.Lock()
	defer record.lock.Unlock()
	fmt.Fprintf(record.file, "%9.4f  %s\n", time.Since(record.started).Seconds(), fmt.Sprintf(format, values...))
}

// newSystem writes the settings of a deployment and starts its processes.
func newSystem(record *record, layout layout) (*system, error) {
	folder, err := os.MkdirTemp("", "review-")
	if err != nil {
		return nil, err
	}
	root := os.Getenv("ROOT")
	system := &system{record: record, folder: folder, root: root, client: &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}}
	network, err := freeNetwork()
	if err != nil {
		return system, err
	}
	for zoneIndex, zone := range zones {
		for number := range layout.cores[zoneIndex] {
			system.cores = append(system.cores, &machine{name: fmt.Sprintf("core-%s-%d", zone, number+1), class: "core", zone: zone, ip: fmt.Sprintf("%s.%d", network, 10+20*zoneIndex+number)})
		}
		for number := range layout.frontends[zoneIndex] {
			system.frontends = append(system.frontends, &machine{name: fmt.Sprintf("frontend-%s-%d", zone, number+1), class: "frontend", zone: zone, ip: fmt.Sprintf("%s.%d", network, 110+20*zoneIndex+number)})
		}
	}
	var seeds []string
	for _, zone := range zones {
		for _, core := range system.cores {
			if core.zone == zone && len(seeds) < 3 {
				seeds = append(seeds, fmt.Sprintf("%q", core.address(controlPort)))
				break
			}
		}
	}
	for _, machine := range system.machines() {
		if err := system.writeSettings(machine, strings.Join(seeds, ","), true, layout.grace); err != nil {
			return system, err
		}
	}
	for _, machine := range system.machines() {
		if err := system.start(machine); err != nil {
			return system, err
		}
	}
	// A restart later isn't the first start of the whole system.
	time.Sleep(300 * time.Millisecond)
	for _, machine := range system.machines() {
		if err := system.writeSettings(machine, strings.Join(seeds, ","), false, layout.grace); err != nil {
			return system, err
		}
	}
	return system, nil
}

// freeNetwork returns the first three numbers of a loopback network on which the ports are free.
func freeNetwork() (string, error) {
	for range 50 {
		network := fmt.Sprintf("127.%d.%d", 1+rand.IntN(254), 1+rand.IntN(254))
		free := true
		for _, port := range []int{frontendPort, controlPort, metricsPort, firstPeerPort, firstPeerPort + 1} {
			listener, err := net.Listen("tcp", fmt.Sprintf("%s.10:%d", network, port))
			if err != nil {
				free = false
				break
			}
			_ = listener.Close()
		}
		if free {
			return network, nil
		}
	}
	return "", errors.New("no free loopback network")
}

func (system *system) machines() []*machine {
	return append(append([]*machine{}, system.cores...), system.frontends...)
}

func (machine *machine) address(port int) string { return fmt.Sprintf("%s:%d", machine.ip, port) }

func region(zone string) string { return strings.TrimSuffix(zone, "-a") }

func (system *system) writeSettings(machine *machine, seeds string, bootstrap bool, grace float64) error {
	if grace == 0 {
		grace = 6
	}
	var text strings.Builder
	fmt.Fprintf(&text, "node-name = %q\nrole = \"role\"\nmachine-class = %q\nip = %q\nzone = %q\nregion = %q\n", machine.name, machine.class, machine.ip, machine.zone, region(machine.zone))
	fmt.Fprintf(&text, "internal-ports = [%d,%d]\nseeds = [%s]\nbootstrap = %t\nin-tolerance = %t\n", firstPeerPort, firstPeerPort+15, seeds, bootstrap, machine.class == "core")
	text.WriteString("discovery = \"registry\"\nentry = \"directory\"\nheartbeat-ms = 1200\ncontracts = [\"base\",\"drain\",\"config\",\"cost\",\"retry\",\"recover\",\"scatter\",\"places\"]\nconfig_mode = \"highest\"\n")
	if machine.class == "core" {
		fmt.Fprintf(&text, "serves = [\"control\"]\ndata-dir = %q\n", filepath.Join(system.folder, machine.name))
	} else {
		text.WriteString("serves = [\"frontend\",\"directory\"]\n")
	}
	text.WriteString("[zones]\n")
	for _, zone := range zones {
		fmt.Fprintf(&text, "%s = %q\n", zone, region(zone))
	}
	text.WriteString("[listen]\n")
	if machine.class == "core" {
		fmt.Fprintf(&text, "control = %q\n", machine.address(controlPort))
	} else {
		fmt.Fprintf(&text, "frontend = %q\nready = %q\ndirectory = %q\n", machine.address(frontendPort), machine.address(readyPort), machine.address(directoryPort))
	}
	text.WriteString("[limits]\ncpu-share = 0.4\ncpu-cores = 1\nmemory-mb = 284\nmax-fds = 4100\nlink-mbps = 1000.0\ndisk-mb = 128\n[fault-tolerance]\nmachines = 1\nzones = 1\nregions = 1\n")
	fmt.Fprintf(&text, "[bounds]\nseed-lag-s = 3\nreuse-after-s = 2\ncontact-ms = 5000\nack-ms = 6000\ncatch-up-s = 4\ndrain-ms = 3000\ngrace-s = %v\nloss-slack-ms = 200\nconfig-apply-ms = 3000\nrollback-slack-ms = 250\nmax-skew-ms = 15000\nretry-budget-ratio = 0.2\nbudget-window-s = 10\nbudget-slack = 52\nwarmup-multiplier = 1.5\nwarmup-slack = 5\nevacuate-ms = 5000\nrecovery-s = 12\nttl_max_s = 5\n", grace)
	machine.settings = filepath.Join(system.folder, machine.name+".toml")
	temporary := machine.settings + ".new"
	if err := os.WriteFile(temporary, []byte(text.String()), 0o644); err != nil {
		return err
	}
	return os.Rename(temporary, machine.settings)
}

// start runs the command of the deploy file for a machine.
func (system *system) start(machine *machine) error {
	output, err := os.OpenFile(filepath.Join(system.folder, machine.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	defer output.Close()
	command := exec.Command("target/comfreythread-platform")
	command.Dir = system.root
	// The platform shows a process one processor.
	command.Env = []string{"COMFREYTHREAD_CONFIG=" + machine.settings, "PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=C", "GOMAXPROCS=1"}
	command.Stdout, command.Stderr = output, output
	if err := command.Start(); err != nil {
		return err
	}
	done := make(chan struct{})
	started.Store(command.Process.Pid, command.Process)
	system.lock.Lock()
	machine.command, machine.done, machine.stopping = command, done, false
	system.lock.Unlock()
	system.record.note("start %s pid %d", machine.name, command.Process.Pid)
	go func() {
		err := command.Wait()
		started.Delete(command.Process.Pid)
		system.lock.Lock()
		stopping := machine.stopping
		system.lock.Unlock()
		if !stopping {
			system.record.note("%s ended by itself: %v", machine.name, err)
		}
		close(done)
	}()
	return nil
}

func (system *system) signal(machine *machine, signal syscall.Signal) {
	system.record.note("signal %v to %s", signal, machine.name)
	if signal == syscall.SIGKILL || signal == syscall.SIGTERM {
		system.lock.Lock()
		machine.stopping = true
		system.lock.Unlock()
	}
	_ = machine.command.Process.Signal(signal)
}

// endStarted ends all processes that were started.
func endStarted() {
	started.Range(func(_, process any) bool {
		_ = process.(*os.Process).Kill()
		return true
	})
}

// end ends all processes that were started, and removes the folder.
func (system *system) end() {
	for _, machine := range system.machines() {
		if machine.command == nil || machine.command.Process == nil {
			continue
		}
		select {
		case <-machine.done:
			continue
		default:
		}
		system.lock.Lock()
		machine.stopping = true
		system.lock.Unlock()
		_ = machine.command.Process.Signal(syscall.SIGCONT)
		_ = machine.command.Process.Kill()
		<-machine.done
	}
	if keep := os.Getenv("KEEP"); keep != "" {
		_ = os.Rename(system.folder, keep)
		return
	}
	_ = os.RemoveAll(system.folder)
}

// order sends an order of the operator to the machines in turn, each for a second, until one acknowledges it. It
// returns the status and when the answer came.
func (system *system) order(method, path string, body []byte, machines []*machine, limit time.Duration) (int, time.Time, error) {
	deadline := time.Now().Add(limit)
	for attempt := 0; time.Now().Before(deadline); attempt++ {
		machine := machines[attempt%len(machines)]
		status, err := system.call(method, "http://"+machine.address(controlPort)+path, body, time.Second)
		system.record.note("operator %s %s at %s: %d %v", method, path, machine.name, status, err)
		switch {
		case err == nil && status == http.StatusOK:
			return status, time.Now(), nil
		case err == nil && (status == 400 || status == 409 || status == 412 || status == 413 || status == 422):
			return status, time.Now(), nil
		}
		time.Sleep(min(500*time.Millisecond, time.Duration(50*(attempt+1))*time.Millisecond))
	}
	return 0, time.Now(), errors.New("the order got no acknowledgement")
}

func (system *system) call(method, url string, body []byte, timeout time.Duration) (int, error) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	var reader io.Reader
	if body != nil {
		reader = bytes.NewReader(body)
	}
	request, err := http.NewRequestWithContext(ctx, method, url, reader)
	if err != nil {
		return 0, err
	}
	if body != nil {
		request.Header.Set("Content-Type", "application/json")
	}
	response, err := system.client.Do(request)
	if err != nil {
		return 0, err
	}
	defer response.Body.Close()
	_, err = io.Copy(io.Discard, response.Body)
	return response.StatusCode, err
}

// awaitReady waits until all frontends say that they are ready.
func (system *system) awaitReady(limit time.Duration) error {
	deadline := time.Now().Add(limit)
	for _, frontend := range system.frontends {
		for {
			if status, err := system.call(http.MethodGet, "http://"+frontend.address(readyPort)+"/v1/readiness", nil, time.Second); err == nil && status == 200 {
				break
			}
			if time.Now().After(deadline) {
				return fmt.Errorf("%s isn't ready", frontend.name)
			}
			time.Sleep(100 * time.Millisecond)
		}
	}
	system.record.note("all frontends are ready")
	return nil
}

func encode(value any) []byte {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	return data
}

// leader returns the core machine that leads, by what it last wrote, or nil.
func (system *system) leader() *machine {
	for _, core := range system.cores {
		data, err := os.ReadFile(filepath.Join(system.folder, core.name+".log"))
		if err != nil {
			continue
		}
		leading := false
		for line := range strings.Lines(string(data)) {
			if strings.Contains(line, `"msg":"group"`) {
				leading = strings.Contains(line, `"leading":true`)
			}
		}
		if leading {
			return core
		}
	}
	return nil
}
