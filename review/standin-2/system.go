// The system under test: the project's platform program as separate processes, each on a loopback address of its own.

package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
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
	// program is what deploy/system.toml runs.
	program = "target/comfreythread-platform"

	portPeer     = 0
	portControl  = 2
	portFrontend = 3
	portReady    = 4
	portResolve  = 5
	portCount    = 6

	startTimeout = 20 * time.Second
)

type (
	// machine is one machine of the small deployment, with one process.
	machine struct {
		name, zone, region string
		number             int
		control            bool
		settings           string
		command            *exec.Cmd
		exited             chan struct{}
	}

	// deployment holds the machines and what all of their settings share.
	deployment struct {
		folder    string
		firstPort int
		zones     [][2]string
		contracts []string
		bounds    string
		machines  []*machine
	}

	// recorder writes record.txt: what was sent, answered and run.
	recorder struct {
		lock    sync.Mutex
		file    *os.File
		started time.Time
	}
)

var (
	record recorder
)

func (recorder *recorder) open(path string) {
	file, err := os.Create(path)
	if err != nil {
		unable("record: %v", err)
	}
	recorder.file, recorder.started = file, time.Now()
}

func (recorder *recorder) line(format string, arguments ...any) {
	recorder.lock.Lock()
	defer recorder.lock.Unlock()
	_, _ = fmt.Fprintf(recorder.file, "%8.3f  %s\n", time.Since(recorder.started).Seconds(), fmt.Sprintf(format, arguments...))
}

// address returns the loopback address of a number. It depends on the process ID, so that runs don't collide.
func address(number int) string {
	return fmt.Sprintf("127.%d.%d.%d", 10+os.Getpid()%200, 1+os.Getpid()/200%250, number)
}

func (deployment *deployment) port(machine *machine, offset int) string {
	return fmt.Sprintf("%s:%d", address(machine.number), deployment.firstPort+offset)
}

func newDeployment(zones [][2]string, contracts []string, bounds string) *deployment {
	folder, err := os.MkdirTemp("", "review-")
	if err != nil {
		unable("temporary folder: %v", err)
	}
	return &deployment{folder: folder, zones: zones, contracts: contracts, bounds: bounds}
}

// add adds a machine in a zone, by its index.
func (deployment *deployment) add(control bool, zone int) *machine {
	kind := "frontend"
	if control {
		kind = "core"
	}
	added := &machine{number: len(deployment.machines) + 1, control: control, zone: deployment.zones[zone][0], region: deployment.zones[zone][1]}
	added.name = fmt.Sprintf("%s-%s-%d", kind, added.zone, added.number)
	deployment.machines = append(deployment.machines, added)
	return added
}

func (deployment *deployment) controls() []*machine {
	var controls []*machine
	for _, machine := range deployment.machines {
		if machine.control {
			controls = append(controls, machine)
		}
	}
	return controls
}

func (deployment *deployment) fronts() []*machine {
	var fronts []*machine
	for _, machine := range deployment.machines {
		if !machine.control {
			fronts = append(fronts, machine)
		}
	}
	return fronts
}

// choosePorts finds consecutive ports that are free at the addresses of all machines.
func (deployment *deployment) choosePorts() {
	for first := 20000 + os.Getpid()%1000*10; ; first += portCount {
		free := true
		for _, machine := range deployment.machines {
			for offset := 0; offset < portCount && free; offset++ {
				listener, err := net.Listen("tcp", fmt.Sprintf("%s:%d", address(machine.number), first+offset))
				if free = err == nil; free {
					_ = listener.Close()
				}
			}
		}
		if free {
			deployment.firstPort = first
			return
		}
		if first > 60000 {
			unable("no free ports")
		}
	}
}

// writeSettings writes the settings file of a machine, in the platform's format.
func (deployment *deployment) writeSettings(machine *machine, bootstrap bool) {
	var seeds []string
	for _, control := range deployment.controls() {
		if len(seeds) < 3 {
			seeds = append(seeds, fmt.Sprintf("%q", deployment.port(control, portControl)))
		}
	}
	contracts, _ := json.Marshal(deployment.contracts)
	text := fmt.Sprintf("node-name = %q\nip = %q\nzone = %q\nregion = %q\ninternal-ports = [%d,%d]\nseeds = [%s]\nbootstrap = %t\ndiscovery = \"registry\"\nentry = \"directory\"\nheartbeat-ms = 1200\nconfig_mode = \"highest\"\ncontracts = %s\n",
		machine.name, address(machine.number), machine.zone, machine.region, deployment.firstPort, deployment.firstPort+1, strings.Join(seeds, ","), bootstrap, contracts)
	if machine.control {
		text += fmt.Sprintf("machine-class = \"core\"\nin-tolerance = true\nserves = [\"control\"]\ndata-dir = %q\n", filepath.Join(deployment.folder, machine.name))
	} else {
		text += "machine-class = \"frontend\"\nin-tolerance = false\nserves = [\"frontend\",\"directory\"]\n"
	}
	text += "[zones]\n"
	for _, zone := range deployment.zones {
		text += fmt.Sprintf("%s = %q\n", zone[0], zone[1])
	}
	text += "[listen]\n"
	if machine.control {
		text += fmt.Sprintf("control = %q\n", deployment.port(machine, portControl))
	} else {
		text += fmt.Sprintf("frontend = %q\nready = %q\ndirectory = %q\n", deployment.port(machine, portFrontend), deployment.port(machine, portReady), deployment.port(machine, portResolve))
	}
	text += "[bounds]\n" + deployment.bounds
	machine.settings = filepath.Join(deployment.folder, machine.name+".toml")
	if err := os.WriteFile(machine.settings, []byte(text), 0o600); err != nil {
		unable("settings: %v", err)
	}
}

// start starts the process of a machine.
func (deployment *deployment) start(machine *machine) {
	output, err := os.OpenFile(filepath.Join(deployment.folder, machine.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		unable("log: %v", err)
	}
	command := exec.Command(program)
	command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + deployment.folder, "COMFREYTHREAD_CONFIG=" + machine.settings}
	command.Stdout, command.Stderr = output, output
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := command.Start(); err != nil {
		unable("start %s: %v", program, err)
	}
	_ = output.Close()
	machine.command, machine.exited = command, make(chan struct{})
	exited := machine.exited
	go func() { _ = command.Wait(); close(exited) }()
}

// signal sends a signal to the process of a machine.
func (machine *machine) signal(signal syscall.Signal) {
	_ = machine.command.Process.Signal(signal)
}

// kill kills the process of a machine and waits for its end.
func (machine *machine) kill() {
	machine.signal(syscall.SIGKILL)
	<-machine.exited
}

// startAll starts all machines for the first time, and waits until a manifest can be sent.
func (deployment *deployment) startAll() {
	deployment.choosePorts()
	for _, machine := range deployment.machines {
		deployment.writeSettings(machine, true)
		deployment.start(machine)
	}
}

// stop ends all processes and removes the folder.
func (deployment *deployment) stop() {
	for _, machine := range deployment.machines {
		if machine.command != nil {
			machine.signal(syscall.SIGCONT)
			machine.kill()
		}
	}
	_ = os.RemoveAll(deployment.folder)
}

// order sends a call of the operator, picking among the control machines, until it is acknowledged. It returns false if that
// takes longer than the time allowed.
func (deployment *deployment) order(method, path string, body []byte, allowed time.Duration) bool {
	client := &http.Client{Timeout: time.Second}
	controls := deployment.controls()
	for deadline, attempt := time.Now().Add(allowed), 0; time.Now().Before(deadline); attempt++ {
		control := controls[attempt%len(controls)]
		request, _ := http.NewRequest(method, "http://"+deployment.port(control, portControl)+path, bytes.NewReader(body))
		request.Header.Set("Content-Type", "application/json")
		response, err := client.Do(request)
		if err == nil {
			answer, _ := io.ReadAll(response.Body)
			_ = response.Body.Close()
			if response.StatusCode == http.StatusOK {
				record.line("operator  %s %s acknowledged by %s", method, path, control.name)
				return true
			}
			if response.StatusCode < 500 && response.StatusCode != 408 && response.StatusCode != 429 {
				record.line("operator  %s %s refused by %s: %d %s", method, path, control.name, response.StatusCode, answer)
				return false
			}
		}
		time.Sleep(min(time.Second, 100*time.Millisecond<<min(attempt, 3)))
	}
	record.line("operator  %s %s not acknowledged", method, path)
	return false
}

// configure sends a manifest.
func (deployment *deployment) configure(manifest map[string]any) {
	body, _ := json.Marshal(manifest)
	record.line("operator  sends manifest %v", manifest["version"])
	if !deployment.order(http.MethodPut, "/v1/config", body, startTimeout) {
		unable("manifest %v was not acknowledged", manifest["version"])
	}
}

// awaitReady waits until front machines count as ready.
func (deployment *deployment) awaitReady(fronts ...*machine) {
	client := &http.Client{Timeout: time.Second}
	deadline := time.Now().Add(startTimeout)
	for _, front := range fronts {
		for {
			response, err := client.Get("http://" + deployment.port(front, portReady) + "/v1/readiness")
			if err == nil {
				_ = response.Body.Close()
				if response.StatusCode == http.StatusOK {
					break
				}
			}
			if time.Now().After(deadline) {
				unable("%s doesn't become ready", front.name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
}

// unable ends a case that couldn't run.
func unable(format string, arguments ...any) {
	panic(cannotRun(fmt.Sprintf(format, arguments...)))
}

type cannotRun string
