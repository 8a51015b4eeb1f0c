package guavascale

type (
	// KeyDigest is the SHA-256 digest of an API key. Keys themselves are not kept.
	KeyDigest [32]byte

	// Account is a client account as the operators declare it.
	Account struct {
		Name string
		// Keys holds the digests of the account's API keys. No key belongs to two
		// accounts of a catalog.
		Keys []KeyDigest
		// Weight is the account's share, relative to the other accounts', when
		// capacity is short. It is finite and not negative.
		Weight float64
		// Limit is what all runs of the account may use at a time on all workers. A
		// field that is 0 sets no limit.
		Limit Resources
	}
)
