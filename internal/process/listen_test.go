package process

import (
	"context"
	"net"
	"testing"

	"gitlab.com/comfreythread/comfreythread/internal/settings"
)

// Guards against a data race in suites that restart processes: the second start of a process binds the same addresses, while
// clients read them.
func TestListenDoesNotWriteAddressesThatStay(t *testing.T) {
	settings := &settings.Settings{HTTPAddress: "127.0.0.1:0", PeerAddress: "127.0.0.1:0"}
	first, err := Listen(t.Context(), settings, Network{})
	if err != nil {
		t.Fatal(err)
	}
	first.close()
	bound := *settings
	// The restart is on a stand-in that accepts any address, because another process may have taken the ports.
	network := Network{Listen: func(_ context.Context, address string) (net.Listener, error) {
		return addressedListener{address}, nil
	}}
	read := make(chan string)
	go func() { read <- settings.HTTPAddress + settings.PeerAddress }()
	if _, err := Listen(t.Context(), settings, network); err != nil {
		t.Fatal(err)
	}
	if got := <-read; got != bound.HTTPAddress+bound.PeerAddress {
		t.Errorf("addresses %q during the second start, want %q", got, bound.HTTPAddress+bound.PeerAddress)
	}
}

// addressedListener is a listener that only has an address.
type addressedListener struct{ address string }

func (addressedListener) Accept() (net.Conn, error)        { return nil, net.ErrClosed }
func (addressedListener) Close() error                     { return nil }
func (addressedListener addressedListener) Addr() net.Addr { return addressedListener }
func (addressedListener) Network() string                  { return "tcp" }
func (addressedListener addressedListener) String() string { return addressedListener.address }
