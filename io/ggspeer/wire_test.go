package ggspeer

import (
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/fxamacker/cbor/v2"

	ggscore "greengageslip/core"
)

// Guards against confusing positions with bare revisions: VMs of an earlier version send
// revisions without epochs, and each version must reject the progress of the other.
func TestProgressOfAnotherVersionIsRejected(t *testing.T) {
	t.Parallel()
	type revisionProgress struct {
		_            struct{} `cbor:",toarray"` //nolint:tagliatelle // the field only sets the format
		Listed       uint64
		Operated     uint64
		ListAge      int64
		OperatorsAge int64
	}
	c := qt.New(t)
	b, err := cbor.Marshal(&revisionProgress{Listed: 4, Operated: 5})
	c.Assert(err, qt.IsNil)
	c.Check(cbor.Unmarshal(b, &progressWire{}), qt.IsNotNil)
	w := progressWireOf(ggscore.StoreProgress{Epoch: 2})
	b, err = cbor.Marshal(&w)
	c.Assert(err, qt.IsNil)
	c.Check(cbor.Unmarshal(b, &revisionProgress{}), qt.IsNotNil)
}
