// Package guavadescriptor divides the file descriptors of a process among its connections.
//
// Assumed load: 300 hosts and 3,000 workers. A new owner calls all workers itself until other
// daemons are its relays, and keeps the connections for some time. With those of peers and
// callers one host had 4,269, while a host may open only 4,100 descriptors. Beyond that
// neither callers nor peers are accepted, and the store isn't reached.
//
// Shares is a function of the limit alone; the caller reads the limit of its process.
package guavadescriptor

// Shares bounds the connections of a daemon.
type Shares struct {
	// Workers bounds all connections to workers, also idle ones. Holds and Orders bound the
	// concurrent calls, which need one connection each; together they are less than
	// Workers, so that there are always idle connections to close.
	Workers, Holds, Orders int
	// Peers and Callers bound the accepted connections.
	Peers, Callers int
}

const (
	// reserved is the number of descriptors for the store, listeners, files and the
	// connections that are being closed.
	reserved = 100
	// The shares are in hundredths of the rest. A daemon with relays needs few connections
	// to workers, and one that is not the owner needs nearly none.
	workerShare, holdShare, orderShare, peerShare = 45, 28, 14, 15
	// maxHolds, maxOrders and maxPeers bound what a daemon needs.
	maxHolds  = 4096
	maxOrders = 2048
	maxPeers  = 1024
	// leastShare is what each kind has whatever the limit.
	leastShare = 16
)

// Divide returns the shares of a process that may open a number of descriptors; 0 if the
// number is not known.
func Divide(limit int) Shares {
	if limit <= 0 {
		return Divide(1 << 20)
	}
	rest := max(limit-reserved, 0)
	share := func(percent, most int) int { return max(min(rest*percent/100, most), leastShare) }
	s := Shares{Holds: share(holdShare, maxHolds), Orders: share(orderShare, maxOrders), Peers: share(peerShare, maxPeers)}
	s.Workers = max(share(workerShare, rest), s.Holds+s.Orders+1)
	s.Callers = max(rest-s.Workers-s.Peers, leastShare)
	return s
}
