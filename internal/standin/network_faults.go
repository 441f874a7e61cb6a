// This file exists so that a test chooses the latency and the faults of a
// network in memory.

package standin

import (
	"net"
	"time"
)

// SetConnect sets the time that a new connection takes besides the latency.
func (network *Network) SetConnect(connect func(from, to string) time.Duration) {
	network.lock.Lock()
	defer network.lock.Unlock()
	network.connect = connect
}

// Watch has each traffic told before it takes place. The function must not
// block.
func (network *Network) Watch(watch func(traffic Traffic)) {
	network.lock.Lock()
	defer network.lock.Unlock()
	network.watch = watch
}

// Down closes all listeners and connections of an IP address and refuses new ones from and
// to it, as the loss of its VM's processes does, until Up.
func (network *Network) Down(ip string) {
	network.lock.Lock()
	if network.down == nil {
		network.down = map[string]bool{}
	}
	network.down[ip] = true
	var closing []*memoryListener
	for address, listener := range network.listeners {
		if host, _, _ := net.SplitHostPort(address); host == ip {
			closing = append(closing, listener)
		}
	}
	network.lock.Unlock()
	for _, listener := range closing {
		_ = listener.Close()
	}
	network.Break(ip)
}

// Up ends a Down.
func (network *Network) Up(ip string) {
	network.lock.Lock()
	defer network.lock.Unlock()
	delete(network.down, ip)
}

// Cut loses all that goes one way between two IP addresses, without telling
// either, until Heal. What is sent meanwhile arrives after Heal.
func (network *Network) Cut(from, to string) {
	network.lock.Lock()
	defer network.lock.Unlock()
	if network.cuts == nil {
		network.cuts = map[direction]bool{}
	}
	network.cuts[direction{from, to}] = true
}

// Heal ends a Cut.
func (network *Network) Heal(from, to string) {
	network.lock.Lock()
	delete(network.cuts, direction{from, to})
	streams := network.matching(func(stream *stream) bool { return stream.direction == direction{from, to} })
	network.lock.Unlock()
	for _, stream := range streams {
		stream.deliverHeld()
	}
}

// Silence makes all open connections of an IP address silent for good; new
// ones work.
func (network *Network) Silence(ip string) {
	for _, stream := range network.streamsOf(ip) {
		stream.lock.Lock()
		stream.silent = true
		stream.lock.Unlock()
	}
}

// BreakAll resets all open connections, so that nothing waits on one any more.
func (network *Network) BreakAll() {
	network.lock.Lock()
	streams := network.matching(func(*stream) bool { return true })
	network.lock.Unlock()
	for _, stream := range streams {
		stream.abort()
	}
}

// Break resets all open connections of an IP address, as the end of its
// process does.
func (network *Network) Break(ip string) {
	for _, stream := range network.streamsOf(ip) {
		stream.abort()
	}
}

func (network *Network) streamsOf(ip string) []*stream {
	network.lock.Lock()
	defer network.lock.Unlock()
	return network.matching(func(stream *stream) bool { return stream.direction.from == ip || stream.direction.to == ip })
}

// matching returns the streams for which the predicate holds. The lock is
// held.
func (network *Network) matching(predicate func(*stream) bool) []*stream {
	var found []*stream
	for stream := range network.streams {
		if predicate(stream) {
			found = append(found, stream)
		}
	}
	return found
}

func (network *Network) isCut(direction direction) bool {
	network.lock.Lock()
	defer network.lock.Unlock()
	return network.cuts[direction]
}

func (network *Network) delay(direction direction) time.Duration {
	network.lock.Lock()
	latency := network.latency
	network.lock.Unlock()
	if latency == nil {
		return 0
	}
	return latency(direction.from, direction.to)
}

func (network *Network) connectTime(direction direction) time.Duration {
	network.lock.Lock()
	connect := network.connect
	network.lock.Unlock()
	if connect == nil {
		return 0
	}
	return connect(direction.from, direction.to)
}

func (network *Network) isDown(ip string) bool {
	network.lock.Lock()
	defer network.lock.Unlock()
	return network.down[ip]
}

func (network *Network) tell(traffic Traffic) {
	network.lock.Lock()
	watch := network.watch
	network.lock.Unlock()
	if watch != nil {
		watch(traffic)
	}
}
