// Package stall decides when the next event of a stream is overdue.
//
// TCP delivers in order, so one lost packet of a sparse stream holds back its event, and all that follow, until the
// sender's retransmission timeout of 200 ms or more. A Detector learns the spacing of one stream and tells how long a
// silence may last before a lost packet is the likely cause. A target that produces events slowly raises the limit of
// its own stream. A Detector only measures; the caller decides what to do about a stalled stream.
//
// The package does no I/O and reads no clock. A Detector is not safe for concurrent use.
package stall
