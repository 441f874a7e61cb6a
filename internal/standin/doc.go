// Package standin holds small stand-ins for what lies outside the system:
// targets that keep a record of what they were asked.
package standin
