// The connect time and the faults of an in-memory network.

package standin

import (
	"net"
	"time"
)

// SetConnectTime sets the time to open a connection, in addition to the latency.
func (network *Network) SetConnectTime(connect func(from, to string) time.Duration) {
	network.lock.Lock()
	defer network.lock.Unlock()
	network.connectDuration = connect
}

// SetBandwidth sets the number of bytes that an IP address sends in a second, over all its connections; 0 means no
// limit.
func (network *Network) SetBandwidth(bandwidth func(from string) int) {
	network.lock.Lock()
	defer network.lock.Unlock()
	network.bandwidth = bandwidth
}

// Watch sets a function that is called before each attempt to open a connection and each write.
// The function must not block.
func (network *Network) Watch(watch func(traffic Traffic)) {
	network.lock.Lock()
	defer network.lock.Unlock()
	network.watch = watch
}

// Down closes all listeners of an IP address, resets its connections and refuses new
// connections from and to it until Up, as if the processes of its VM had died.
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

// Cut stops delivery in one direction between two IP addresses until Heal. Neither end gets an
// error, and data sent in the meantime is delivered after Heal.
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
	streams := network.filterStreams(func(stream *stream) bool { return stream.direction == direction{from, to} })
	network.lock.Unlock()
	for _, stream := range streams {
		stream.scheduleHeldChunks()
	}
}

// Silence drops all data sent from now on over the open connections of an IP address,
// permanently. New connections are not affected.
func (network *Network) Silence(ip string) {
	for _, stream := range network.streamsOf(ip) {
		stream.lock.Lock()
		stream.silent = true
		stream.lock.Unlock()
	}
}

// BreakAll resets all open connections, which unblocks all reads and writes.
func (network *Network) BreakAll() {
	network.lock.Lock()
	streams := network.filterStreams(func(*stream) bool { return true })
	network.lock.Unlock()
	for _, stream := range streams {
		stream.abort()
	}
}

// Break resets all open connections of an IP address, as when its process ends.
func (network *Network) Break(ip string) {
	for _, stream := range network.streamsOf(ip) {
		stream.abort()
	}
}

func (network *Network) streamsOf(ip string) []*stream {
	network.lock.Lock()
	defer network.lock.Unlock()
	return network.filterStreams(func(stream *stream) bool { return stream.direction.from == ip || stream.direction.to == ip })
}

// filterStreams returns the open streams that satisfy the predicate. The lock must be held.
func (network *Network) filterStreams(predicate func(*stream) bool) []*stream {
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

// departureOf returns when bytes that are written now have left an IP address.
func (network *Network) departureOf(from string, bytes int) time.Time {
	network.lock.Lock()
	defer network.lock.Unlock()
	now := time.Now()
	if network.bandwidth == nil || network.bandwidth(from) <= 0 {
		return now
	}
	departure := network.sentUntil[from]
	if departure.Before(now) {
		departure = now
	}
	departure = departure.Add(time.Duration(bytes) * time.Second / time.Duration(network.bandwidth(from)))
	if network.sentUntil == nil {
		network.sentUntil = map[string]time.Time{}
	}
	network.sentUntil[from] = departure
	return departure
}

func (network *Network) latencyOf(direction direction) time.Duration {
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
	connect := network.connectDuration
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

func (network *Network) notifyWatch(traffic Traffic) {
	network.lock.Lock()
	watch := network.watch
	network.lock.Unlock()
	if watch != nil {
		watch(traffic)
	}
}
