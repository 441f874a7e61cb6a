package replica

// SetBatchedRequests bounds the requests that share one sync of the disk.
func (replica *Replica) SetBatchedRequests(batchedRequests int) {
	replica.batchedRequests = batchedRequests
}
