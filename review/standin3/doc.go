//go:build review

// Command standin3 runs the cases of the third review: it starts entry processes as the deploy file says, with a stand-in of the
// platform's store, stand-ins of engines and clients in its own process, and checks what clients and engines have seen.
package main
