// Package settings reads and checks the settings of a process.
package settings

import (
	"fmt"
	"net/netip"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/go-faster/errors"

	"gitlab.com/comfreythread/comfreythread/internal/document"
	"gitlab.com/comfreythread/comfreythread/pkg/duration"
	"gitlab.com/comfreythread/comfreythread/pkg/fault"
)

// Exporters that spans can go to.
const (
	ExportNone   = "none"
	ExportStdout = "stdout"
	ExportOTLP   = "otlp"
)

const (
	// DefaultAddressMaxAge is how long callers may use the addresses that an
	// entry gave them, where the settings don't say.
	DefaultAddressMaxAge = 5 * time.Second
	// DefaultReserveSpan is within what a supervisor usually has a crashed
	// process back, and the 3 to 6 s after which an entry that starts serves.
	DefaultReserveSpan = 30 * time.Second
	// MaximumReserveSpan bounds it, because a planned stop takes longer.
	MaximumReserveSpan = time.Minute
	// MaximumAddressMaxAge bounds it, because a planned stop takes longer.
	MaximumAddressMaxAge = 30 * time.Second

	maximumReplicas   = 19
	maximumRetrySlack = 1 << 20
)

type (
	// Settings are the settings of one process.
	Settings struct {
		// Name names the process among all others.
		Name          string `json:"name"`
		FailureDomain string `json:"failure_domain"`
		Region        string `json:"region,omitempty"`
		// HTTPAddress and PeerAddress are the IP:port to listen on.
		HTTPAddress string `json:"http_address"`
		PeerAddress string `json:"peer_address"`
		// Entry and Control switch the roles on.
		Entry   bool     `json:"entry,omitempty"`
		Control *Control `json:"control,omitempty"`
		// AddressMaxAge is how long callers may use the addresses that this
		// entry gives them. A planned stop serves on for as long, so all
		// entries should have the same.
		AddressMaxAge duration.Duration `json:"address_max_age,omitempty"`
		// ReserveSpan is how much longer a planned stop takes at most where no
		// other entry serves; zero is DefaultReserveSpan.
		ReserveSpan duration.Duration `json:"reserve_span,omitempty"`
		// ControlReplicas lists the IP:port peer addresses of all control
		// replicas.
		ControlReplicas []string `json:"control_replicas"`
		// MetricsAddress is an IP:port for metrics alone; they are served at
		// HTTPAddress in any case.
		MetricsAddress string `json:"metrics_address,omitempty"`
		// Gateway lets an entry serve HTTP routes.
		Gateway  *Gateway `json:"gateway,omitempty"`
		LogLevel string   `json:"log_level,omitempty"`
		Tracing  Tracing  `json:"tracing,omitzero"`
	}

	// Control holds the settings of the control role.
	Control struct {
		DataFolder string `json:"data_folder"`
		// JoinOnly keeps a replica with an empty disk from founding a group.
		JoinOnly bool `json:"join_only,omitempty"`
		// SelfManaged lets the group take in new replicas and replace lost
		// ones without an operator.
		SelfManaged bool `json:"self_managed,omitempty"`
	}

	// Gateway holds the settings for HTTP routes.
	Gateway struct {
		// Address is the IP:port for callers of HTTP routes.
		Address string `json:"address"`
		// Regions holds the region of each failure domain.
		Regions map[string]string `json:"regions,omitempty"`
		// RetryRatio is the share of a pool's requests that may be sent to a
		// second target, and RetrySlack the number beyond, in any
		// RetryWindow, by all entries together.
		RetryRatio  float64           `json:"retry_ratio"`
		RetrySlack  float64           `json:"retry_slack"`
		RetryWindow duration.Duration `json:"retry_window"`
		// StopSpan is how long a planned stop may take.
		StopSpan duration.Duration `json:"stop_span"`
	}

	// Tracing chooses where spans go.
	Tracing struct {
		Exporter string `json:"exporter,omitempty"`
		// Endpoint is the URL of the OTLP/HTTP receiver.
		Endpoint string `json:"endpoint,omitempty"`
	}

	check struct {
		problems []fault.Problem
	}
)

// Load reads and checks a settings file.
func Load(path string) (*Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Wrap(err, "read settings; name an existing file with --settings")
	}
	return Parse(data)
}

// Parse reads and checks the content of a settings file.
func Parse(data []byte) (*Settings, error) {
	settings := new(Settings)
	if err := document.DecodeAndCheck(data, settings); err != nil {
		return nil, err
	}
	if settings.AddressMaxAge == 0 {
		settings.AddressMaxAge = duration.Of(DefaultAddressMaxAge)
	}
	if settings.ReserveSpan == 0 {
		settings.ReserveSpan = duration.Of(DefaultReserveSpan)
	}
	return settings, nil
}

// Check lists everything that is wrong with the settings as one fault.Error,
// or returns nil.
func (settings *Settings) Check() error {
	var check check
	check.require("name", settings.Name)
	check.require("failure_domain", settings.FailureDomain)
	check.address("http_address", settings.HTTPAddress)
	check.address("peer_address", settings.PeerAddress)
	if !settings.Entry && settings.Control == nil {
		check.add("entry", "no role is switched on", "set entry to true, or fill in control")
	}
	if settings.Control != nil {
		check.require("control.data_folder", settings.Control.DataFolder)
	}
	if len(settings.ControlReplicas) == 0 || len(settings.ControlReplicas) > maximumReplicas {
		check.add("control_replicas", "the number of replicas is out of range", fmt.Sprintf("list 1 to %d peer addresses", maximumReplicas))
	}
	for index, address := range settings.ControlReplicas {
		check.address(fmt.Sprintf("control_replicas[%d]", index), address)
	}
	if settings.ReserveSpan < 0 || settings.ReserveSpan.Std() > MaximumReserveSpan {
		check.add("reserve_span", "the span is out of range", "use a span up to "+MaximumReserveSpan.String()+", or leave it out")
	}
	if settings.AddressMaxAge < 0 || settings.AddressMaxAge.Std() > MaximumAddressMaxAge {
		check.add("address_max_age", "the span is out of range", "use a span up to "+MaximumAddressMaxAge.String()+", or leave it out")
	}
	if settings.MetricsAddress != "" {
		check.address("metrics_address", settings.MetricsAddress)
	}
	check.gateway(settings)
	check.oneOf("log_level", settings.LogLevel, "debug", "info", "warn", "error")
	check.oneOf("tracing.exporter", settings.Tracing.Exporter, ExportNone, ExportStdout, ExportOTLP)
	if settings.Tracing.Exporter == ExportOTLP {
		check.require("tracing.endpoint", settings.Tracing.Endpoint)
	}
	return fault.Document("settings", check.problems)
}

func (check *check) add(path, message, remedy string) {
	check.problems = append(check.problems, fault.Problem{Path: path, Message: message, Remedy: remedy})
}

func (check *check) require(path, value string) {
	if value == "" {
		check.add(path, "the value is missing", "fill it in")
	}
}

func (check *check) address(path, value string) {
	if _, err := netip.ParseAddrPort(value); err != nil {
		check.add(path, fmt.Sprintf("%q is not IP:port", value), "write it like 10.0.0.7:8080")
	}
}

func (check *check) gateway(settings *Settings) {
	gateway := settings.Gateway
	if gateway == nil {
		return
	}
	if !settings.Entry {
		check.add("gateway", "only an entry serves HTTP routes", "set entry to true, or leave gateway out")
	}
	check.address("gateway.address", gateway.Address)
	if !(gateway.RetryRatio >= 0 && gateway.RetryRatio <= 1) {
		check.add("gateway.retry_ratio", "the share is out of range", "use 0 to 1")
	}
	if !(gateway.RetrySlack >= 0 && gateway.RetrySlack <= maximumRetrySlack) {
		check.add("gateway.retry_slack", "the number is out of range", fmt.Sprintf("use 0 to %d", maximumRetrySlack))
	}
	if gateway.RetryWindow.Std() < time.Second || gateway.RetryWindow.Std() > time.Hour {
		check.add("gateway.retry_window", "the span is out of range", "use 1s to 1h")
	}
	if gateway.StopSpan.Std() < time.Second || gateway.StopSpan.Std() > time.Hour {
		check.add("gateway.stop_span", "the span is out of range", "use 1s to 1h")
	}
}

func (check *check) oneOf(path, value string, allowed ...string) {
	if value == "" || slices.Contains(allowed, value) {
		return
	}
	check.add(path, fmt.Sprintf("%q is unknown", value), "use one of "+strings.Join(allowed, ", "))
}
