package ggscore

import (
	"context"
	"time"
)

// A Key is a key of the platform's key-value service.
type Key string

// KeyOf joins parts of a key with slashes.
func KeyOf(parts ...string) Key {
	k := ""
	for i, p := range parts {
		if i > 0 {
			k += "/"
		}
		k += p
	}
	return Key(k)
}

// A StoreRevision numbers the writes of the platform's key-value service.
// Zero stands for "no such key".
type StoreRevision uint64

// A LeaseID names a lease of the platform's key-value service.
type LeaseID uint64

// An Entry is a value of the platform's key-value service.
type Entry struct {
	Key      Key
	Value    []byte
	Revision StoreRevision
	Lease    LeaseID
}

// A Reader reads the platform's key-value service. A missing key gives an
// entry with revision zero and no error.
type Reader interface {
	Get(ctx context.Context, k Key) (Entry, error)
	List(ctx context.Context, prefix Key) ([]Entry, error)
}

// A Writer writes the platform's key-value service. Put and Delete succeed
// only while the key's revision is prev, zero meaning that it doesn't exist;
// else they return a *ConflictError. An *AmbiguousWriteError means that the
// write may have taken effect, or may yet do so.
type Writer interface {
	Put(ctx context.Context, k Key, value []byte, prev StoreRevision, l LeaseID) (StoreRevision, error)
	Delete(ctx context.Context, k Key, prev StoreRevision) error
}

// A Leaser grants leases. Keys put under a lease vanish when it lapses.
type Leaser interface {
	Grant(ctx context.Context, ttl time.Duration) (LeaseID, error)
	Renew(ctx context.Context, l LeaseID) error
	Revoke(ctx context.Context, l LeaseID) error
}

// A Watcher waits for changes. Watch returns entries below the prefix that
// changed after the revision, and the revision up to which the answer is
// complete; it returns no entries when wait has passed. A deleted key comes
// as an entry with a nil value.
type Watcher interface {
	Watch(ctx context.Context, prefix Key, after StoreRevision, wait time.Duration) ([]Entry, StoreRevision, error)
}

// A Store is the platform's key-value service.
type Store interface {
	Reader
	Writer
	Leaser
	Watcher
}

// A VMLister reads the platform's lagging list of VMs.
type VMLister interface {
	ListVMs(ctx context.Context) ([]VM, error)
}
