// Package answer reads the answers of targets within bounds on the size of each and on the memory that all of them take together. A
// faulty target may send bytes without end.
package answer
