package ggspeer

import (
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/fxamacker/cbor/v2"

	ggscore "greengageslip/core"
)

// Guards against a VM of a version without epochs that takes a position for a bare revision, and the other way round.
func TestNewsOfAnotherVersionAreDropped(t *testing.T) {
	t.Parallel()
	type revisionNews struct {
		_            struct{} `cbor:",toarray"` //nolint:tagliatelle // the field only sets the format
		Listed       uint64
		Operated     uint64
		ListAge      int64
		OperatorsAge int64
	}
	c := qt.New(t)
	b, err := cbor.Marshal(&revisionNews{Listed: 4, Operated: 5})
	c.Assert(err, qt.IsNil)
	c.Check(cbor.Unmarshal(b, &newsWire{}), qt.IsNotNil)
	w := newsWireOf(ggscore.StoreProgress{Epoch: 2})
	b, err = cbor.Marshal(&w)
	c.Assert(err, qt.IsNil)
	c.Check(cbor.Unmarshal(b, &revisionNews{}), qt.IsNotNil)
}
