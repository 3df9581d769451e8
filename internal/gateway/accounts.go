package gateway

import (
	"bytes"
	"cmp"
	"crypto/sha256"
	"slices"
)

// KeyDigest is the SHA-256 digest of an API key. Keys themselves are not kept or sent to other entries.
type KeyDigest [sha256.Size]byte

// DigestKey returns the digest of an API key.
func DigestKey(key string) KeyDigest { return sha256.Sum256([]byte(key)) }

// Account is a client account.
type Account struct {
	Name string `cbor:"1,keyasint"`
	// Priority replaces that of the route; 0 is the highest. It is nil if the account has none.
	Priority *int `cbor:"2,keyasint,omitempty"`
}

// AccountKey is the digest of a key of the account with an index in Config.Accounts.
type AccountKey struct {
	_       struct{} `cbor:",toarray"`
	Digest  KeyDigest
	Account uint32
}

// AccountSpec describes an account with the digests of its keys.
type AccountSpec struct {
	Account
	Keys []KeyDigest
}

// SetAccounts replaces the accounts and their keys. If accounts share a key, it belongs to the one with the least name, so that all
// entries decide alike.
func (c *Config) SetAccounts(specs []AccountSpec) {
	specs = slices.SortedFunc(slices.Values(specs), func(a, b AccountSpec) int { return cmp.Compare(a.Name, b.Name) })
	keys := 0
	for i := range specs {
		keys += len(specs[i].Keys)
	}
	c.Accounts, c.Keys = make([]Account, 0, len(specs)), make([]AccountKey, 0, keys)
	for i := range specs {
		c.Accounts = append(c.Accounts, specs[i].Account)
		for _, digest := range specs[i].Keys {
			c.Keys = append(c.Keys, AccountKey{Digest: digest, Account: uint32(i)}) //nolint:gosec // far fewer accounts
		}
	}
	slices.SortStableFunc(c.Keys, compareKeys)
	c.Keys = slices.CompactFunc(c.Keys, func(a, b AccountKey) bool { return a.Digest == b.Digest })
}

func compareKeys(a, b AccountKey) int { return bytes.Compare(a.Digest[:], b.Digest[:]) }

// RequiresKey reports whether requests of the route need the API key of an account.
func (c *Config) RequiresKey(r *Route) bool { return len(c.Accounts) > 0 && !r.Public }

// AccountNamed returns the account with the given name, or nil.
func (c *Config) AccountNamed(name string) *Account {
	i := slices.IndexFunc(c.Accounts, func(a Account) bool { return a.Name == name })
	if i < 0 {
		return nil
	}
	return &c.Accounts[i]
}

// AccountOf returns the account with the given key, or nil. It compares digests only: the time that it takes depends on the digest of
// the presented key, which doesn't tell how much of a valid key was guessed.
func (c *Config) AccountOf(key string) *Account {
	digest := DigestKey(key)
	i, found := slices.BinarySearchFunc(c.Keys, digest, func(k AccountKey, d KeyDigest) int { return bytes.Compare(k.Digest[:], d[:]) })
	if !found || int(c.Keys[i].Account) >= len(c.Accounts) {
		return nil
	}
	return &c.Accounts[c.Keys[i].Account]
}
