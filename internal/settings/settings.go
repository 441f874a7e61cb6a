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
	"gitlab.com/comfreythread/comfreythread/internal/policy"
	"gitlab.com/comfreythread/comfreythread/pkg/duration"
	"gitlab.com/comfreythread/comfreythread/pkg/fault"
)

// Names of the exporters for tracing spans.
const (
	ExportNone   = "none"
	ExportStdout = "stdout"
	ExportOTLP   = "otlp"
)

const (
	// DefaultAddressMaxAge is the default of Settings.AddressMaxAge.
	DefaultAddressMaxAge = 5 * time.Second
	// DefaultReserveSpan is the default of Settings.ReserveSpan. It covers the time in which a
	// supervisor usually restarts a crashed process, plus the 3 to 6 s until a starting entry serves.
	DefaultReserveSpan = 30 * time.Second
	// MaximumReserveSpan bounds Settings.ReserveSpan, because it prolongs a planned stop.
	MaximumReserveSpan = time.Minute
	// MinimumMemoryLimitBytes is the least memory that a process can do its work in.
	MinimumMemoryLimitBytes = 32 << 20
	// MinimumDescriptorLimit is the least number of descriptors that a process can do its work with.
	MinimumDescriptorLimit = 128
	// MaximumAddressMaxAge bounds Settings.AddressMaxAge, because it prolongs a planned stop.
	MaximumAddressMaxAge = 30 * time.Second

	maximumReplicas   = 19
	maximumRetrySlack = 1 << 20
)

type (
	// Settings are the settings of one process.
	Settings struct {
		// Name identifies the process and is unique among all processes.
		Name          string `json:"name"`
		FailureDomain string `json:"failure_domain"`
		Region        string `json:"region,omitempty"`
		// HTTPAddress and PeerAddress are the IP:port addresses to listen on.
		HTTPAddress string `json:"http_address"`
		PeerAddress string `json:"peer_address"`
		// Entry enables the role that serves callers: an entry runs their requests on targets. Control
		// enables the role of a control replica, which stores the tables and the view of entries and
		// grants leases to entries.
		Entry   bool     `json:"entry,omitempty"`
		Control *Control `json:"control,omitempty"`
		// AddressMaxAge is how long callers may use the addresses that this entry gives them. A
		// stopping entry continues to serve for this time, so all entries should use the same value.
		AddressMaxAge duration.Duration `json:"address_max_age,omitempty"`
		// ReserveSpan is how much longer a stopping entry continues to serve, at most, while no other
		// entry serves; zero stands for DefaultReserveSpan.
		ReserveSpan duration.Duration `json:"reserve_span,omitempty"`
		// ControlReplicas lists the IP:port peer addresses of all control replicas.
		ControlReplicas []string `json:"control_replicas"`
		// MetricsAddress is an additional IP:port that serves only metrics. HTTPAddress always serves
		// them too.
		MetricsAddress string `json:"metrics_address,omitempty"`
		// MemoryLimitBytes is the memory at which the process would be ended; 0 means that it isn't known.
		MemoryLimitBytes int64 `json:"memory_limit_bytes,omitempty"`
		// DescriptorLimit is the number of file descriptors that the process may open; 0 stands for the limit of the operating system.
		DescriptorLimit int `json:"descriptor_limit,omitempty"`
		// Gateway makes an entry serve HTTP routes; nil turns that off.
		Gateway *Gateway `json:"gateway,omitempty"`
		// Rollouts lets operators order rollouts; nil turns that off. All processes use the same value.
		Rollouts *Rollouts `json:"rollouts,omitempty"`
		LogLevel string    `json:"log_level,omitempty"`
		Tracing  Tracing   `json:"tracing,omitzero"`
	}

	// Control holds the settings of the control role.
	Control struct {
		DataFolder string `json:"data_folder"`
		// JoinOnly prevents a replica with an empty disk from founding a new group.
		JoinOnly bool `json:"join_only,omitempty"`
		// SelfManaged lets the group add new replicas and replace lost ones without an operator.
		SelfManaged bool `json:"self_managed,omitempty"`
	}

	// Gateway holds the settings for HTTP routes.
	Gateway struct {
		// Address is the IP:port for callers of HTTP routes.
		Address string `json:"address"`
		// Regions maps each failure domain to its region.
		Regions map[string]string `json:"regions,omitempty"`
		// The retry budget bounds how many of a pool's requests all entries together send to a second
		// target. Within any RetryWindow, the limit is RetryRatio times the number of the pool's
		// requests, plus RetrySlack.
		RetryRatio  float64           `json:"retry_ratio"`
		RetrySlack  float64           `json:"retry_slack"`
		RetryWindow duration.Duration `json:"retry_window"`
		// StopSpan is how long a planned stop may take.
		StopSpan duration.Duration `json:"stop_span"`
		// Allotments turns the limits of tenants on; nil means that none is enforced.
		Allotments *Allotments `json:"allotments,omitempty"`
		// Revocation defines how an entry without contact with control treats keys.
		Revocation Revocation `json:"revocation,omitzero"`
		// DisabledMechanisms lists mechanisms of the request path that are turned off.
		DisabledMechanisms policy.Mechanisms `json:"disabled_mechanisms,omitempty"`
	}

	// Rollouts limits what the release of a rollout may get before it has proved to be good.
	Rollouts struct {
		// Share is the maximum share of the pool's requests, and Slack the number of requests on top.
		Share float64 `json:"share"`
		Slack float64 `json:"slack"`
		// RollbackSpan is the time after which a bad release gets no request any more.
		RollbackSpan duration.Duration `json:"rollback_span"`
	}

	// Allotments defines how exactly the limits of tenants are kept. In any window, the requests of a
	// tenant are at most (rate x Window + burst) x (1 + Overage) + Slack.
	Allotments struct {
		Window  duration.Duration `json:"window"`
		Overage float64           `json:"overage"`
		Slack   float64           `json:"slack"`
	}

	// Revocation defines how an entry without contact with control treats keys. If Strict is true, it
	// refuses requests that need a key after Span without contact.
	Revocation struct {
		Strict bool              `json:"strict,omitempty"`
		Span   duration.Duration `json:"span,omitempty"`
	}

	// Tracing selects the exporter of tracing spans.
	Tracing struct {
		Exporter string `json:"exporter,omitempty"`
		// Endpoint is the URL of the OTLP/HTTP receiver. It is used only with ExportOTLP.
		Endpoint string `json:"endpoint,omitempty"`
	}

	validator struct {
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

// Parse decodes and checks the content of a settings file, and fills in the defaults.
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

// Check validates the settings. It returns all problems as one *fault.Error, or nil if there are
// none.
func (settings *Settings) Check() error {
	var validator validator
	validator.require("name", settings.Name)
	validator.require("failure_domain", settings.FailureDomain)
	validator.address("http_address", settings.HTTPAddress)
	validator.address("peer_address", settings.PeerAddress)
	if !settings.Entry && settings.Control == nil {
		validator.addProblem("entry", "no role is switched on", "set entry to true, or fill in control")
	}
	if settings.Control != nil {
		validator.require("control.data_folder", settings.Control.DataFolder)
	}
	if len(settings.ControlReplicas) == 0 || len(settings.ControlReplicas) > maximumReplicas {
		validator.addProblem("control_replicas", "the number of replicas is out of range", fmt.Sprintf("list 1 to %d peer addresses", maximumReplicas))
	}
	for index, address := range settings.ControlReplicas {
		validator.address(fmt.Sprintf("control_replicas[%d]", index), address)
	}
	if settings.ReserveSpan < 0 || settings.ReserveSpan.Std() > MaximumReserveSpan {
		validator.addProblem("reserve_span", "the span is out of range", "use a span up to "+MaximumReserveSpan.String()+", or leave it out")
	}
	if settings.AddressMaxAge < 0 || settings.AddressMaxAge.Std() > MaximumAddressMaxAge {
		validator.addProblem("address_max_age", "the span is out of range", "use a span up to "+MaximumAddressMaxAge.String()+", or leave it out")
	}
	validator.atLeast("memory_limit_bytes", settings.MemoryLimitBytes, MinimumMemoryLimitBytes)
	validator.atLeast("descriptor_limit", int64(settings.DescriptorLimit), MinimumDescriptorLimit)
	if settings.MetricsAddress != "" {
		validator.address("metrics_address", settings.MetricsAddress)
	}
	validator.gateway(settings)
	validator.rollouts(settings.Rollouts)
	validator.oneOf("log_level", settings.LogLevel, "debug", "info", "warn", "error")
	validator.oneOf("tracing.exporter", settings.Tracing.Exporter, ExportNone, ExportStdout, ExportOTLP)
	if settings.Tracing.Exporter == ExportOTLP {
		validator.require("tracing.endpoint", settings.Tracing.Endpoint)
	}
	return fault.InvalidDocument("settings", validator.problems)
}

func (validator *validator) addProblem(path, message, remedy string) {
	validator.problems = append(validator.problems, fault.Problem{Path: path, Message: message, Remedy: remedy})
}

func (validator *validator) require(path, value string) {
	if value == "" {
		validator.addProblem(path, "the value is missing", "fill it in")
	}
}

// atLeast checks a limit that may be left out.
func (validator *validator) atLeast(path string, limit, minimum int64) {
	if limit != 0 && limit < minimum {
		validator.addProblem(path, "the limit is out of range", fmt.Sprintf("use %d or more, or leave it out", minimum))
	}
}

func (validator *validator) address(path, value string) {
	if _, err := netip.ParseAddrPort(value); err != nil {
		validator.addProblem(path, fmt.Sprintf("%q is not IP:port", value), "write it like 10.0.0.7:8080")
	}
}

func (validator *validator) gateway(settings *Settings) {
	gateway := settings.Gateway
	if gateway == nil {
		return
	}
	if !settings.Entry {
		validator.addProblem("gateway", "only an entry serves HTTP routes", "set entry to true, or leave gateway out")
	}
	validator.address("gateway.address", gateway.Address)
	if !(gateway.RetryRatio >= 0 && gateway.RetryRatio <= 1) {
		validator.addProblem("gateway.retry_ratio", "the share is out of range", "use 0 to 1")
	}
	if !(gateway.RetrySlack >= 0 && gateway.RetrySlack <= maximumRetrySlack) {
		validator.addProblem("gateway.retry_slack", "the number is out of range", fmt.Sprintf("use 0 to %d", maximumRetrySlack))
	}
	if gateway.RetryWindow.Std() < time.Second || gateway.RetryWindow.Std() > time.Hour {
		validator.addProblem("gateway.retry_window", "the span is out of range", "use 1s to 1h")
	}
	if gateway.StopSpan.Std() < time.Second || gateway.StopSpan.Std() > time.Hour {
		validator.addProblem("gateway.stop_span", "the span is out of range", "use 1s to 1h")
	}
	if allotments := gateway.Allotments; allotments != nil {
		validator.span("gateway.allotments.window", allotments.Window)
		validator.notNegative("gateway.allotments.overage", allotments.Overage)
		validator.notNegative("gateway.allotments.slack", allotments.Slack)
	}
	if gateway.Revocation.Strict {
		validator.span("gateway.revocation.span", gateway.Revocation.Span)
	}
	for index, mechanism := range gateway.DisabledMechanisms {
		path := fmt.Sprintf("gateway.disabled_mechanisms[%d]", index)
		validator.require(path, string(mechanism))
		validator.oneOf(path, string(mechanism), policy.AllMechanisms().Names()...)
	}
}

func (validator *validator) rollouts(rollouts *Rollouts) {
	if rollouts == nil {
		return
	}
	if !(rollouts.Share > 0 && rollouts.Share <= 1) {
		validator.addProblem("rollouts.share", "the share is out of range", "use a number above 0, up to 1")
	}
	validator.notNegative("rollouts.slack", rollouts.Slack)
	validator.span("rollouts.rollback_span", rollouts.RollbackSpan)
}

func (validator *validator) span(path string, span duration.Duration) {
	if span.Std() < 100*time.Millisecond || span.Std() > time.Hour {
		validator.addProblem(path, "the span is out of range", "use 100ms to 1h")
	}
}

func (validator *validator) notNegative(path string, value float64) {
	if !(value >= 0 && value <= maximumRetrySlack) {
		validator.addProblem(path, "the number is out of range", fmt.Sprintf("use 0 to %d", maximumRetrySlack))
	}
}

func (validator *validator) oneOf(path, value string, allowed ...string) {
	if value == "" || slices.Contains(allowed, value) {
		return
	}
	validator.addProblem(path, fmt.Sprintf("%q is unknown", value), "use one of "+strings.Join(allowed, ", "))
}
