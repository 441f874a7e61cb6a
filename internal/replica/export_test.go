package replica

// SetGathered bounds the requests that share one sync of the disk.
func (replica *Replica) SetGathered(gathered int) { replica.gathered = gathered }
