package ggscore

import (
	"context"
	"time"
)

// A Key is a key of the platform's key-value service.
type Key string

// KeyOf joins the parts of a key with slashes.
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
// Zero means that the key doesn't exist.
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

// A Reader reads the platform's key-value service. For a missing key it returns an entry with
// revision zero and no error.
type Reader interface {
	Get(ctx context.Context, k Key) (Entry, error)
	List(ctx context.Context, prefix Key) ([]Entry, error)
}

// A Writer writes to the platform's key-value service. Put and Delete succeed only if the key's
// revision is prev, where zero means that the key doesn't exist. Otherwise they return a
// *ConflictError. An *AmbiguousWriteError means that the write may have taken effect, or may
// still do so.
type Writer interface {
	Put(ctx context.Context, k Key, value []byte, prev StoreRevision, l LeaseID) (StoreRevision, error)
	Delete(ctx context.Context, k Key, prev StoreRevision) error
}

// A Leaser grants leases. Keys that were put under a lease are deleted when the lease expires.
type Leaser interface {
	Grant(ctx context.Context, ttl time.Duration) (LeaseID, error)
	Renew(ctx context.Context, l LeaseID) error
	Revoke(ctx context.Context, l LeaseID) error
}

// A Watcher waits for changes. Watch returns the entries below the prefix that changed after the
// revision, and the revision up to which the answer is complete. It returns no entries if
// nothing changed within wait. A deleted key is an entry with a nil value.
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

// A VMLister reads the platform's list of VMs, which is updated with a delay. If entries can't be read, it returns the
// others and a *PartialListError.
type VMLister interface {
	ListVMs(ctx context.Context) ([]VM, error)
}
