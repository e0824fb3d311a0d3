package ggsdocument

import (
	"slices"

	ggscore "greengageslip/core"
)

// A Resolution is the part of the document that applies to one request. Adapter is set
// for requests of model services, Operation for those of plain services.
type Resolution struct {
	Revision  ggscore.Revision
	Market    ggscore.Market
	Service   ggscore.ServiceSpec
	Use       ggscore.UseSpec
	Adapter   ggscore.AdapterRef
	Operation ggscore.OperationSpec
}

// Resolve returns the adapter that a request of a model service names, either as
// "name@version" or as "name" for the current version. It fails with a
// *ggscore.BadAdapterRefError, *UnknownMarketError, *UnknownServiceError,
// *UnknownAdapterError or *BaseModelMismatchError.
func Resolve(d *ggscore.Document, m ggscore.Market, s ggscore.Service, model string) (Resolution, error) {
	r, err := resolveUse(d, m, s, ggscore.KindModel)
	if err != nil {
		return Resolution{}, err
	}
	ref, err := ggscore.ParseAdapterRef(model)
	if err != nil {
		return Resolution{}, err
	}
	a, found := d.Markets[m].Adapters[ref.Name]
	if !found {
		return Resolution{}, &UnknownAdapterError{Market: m, Adapter: ref}
	}
	if ref.Version == "" {
		ref.Version = a.Current
	}
	if !slices.Contains(a.Versions, ref.Version) {
		return Resolution{}, &UnknownAdapterError{Market: m, Adapter: ref}
	}
	if a.Base != r.Service.Base {
		return Resolution{}, &BaseModelMismatchError{Service: s, Serves: r.Service.Base, Adapter: ref, Needs: a.Base}
	}
	r.Adapter = ref
	return r, nil
}

// ResolveOperation returns the operation that a request of a plain service names. It
// fails with an *UnknownMarketError, *UnknownServiceError or *UnknownOperationError.
func ResolveOperation(d *ggscore.Document, m ggscore.Market, s ggscore.Service, operation string) (Resolution, error) {
	r, err := resolveUse(d, m, s, ggscore.KindPlain)
	if err != nil {
		return Resolution{}, err
	}
	o, found := r.Service.Operations[operation]
	if !found {
		return Resolution{}, &UnknownOperationError{Service: s, Operation: operation}
	}
	r.Operation = o
	return r, nil
}

// resolveUse returns the market's use of a service of the given kind.
func resolveUse(d *ggscore.Document, m ggscore.Market, s ggscore.Service, k ggscore.ServiceKind) (Resolution, error) {
	spec, found := d.Markets[m]
	if !found {
		return Resolution{}, &UnknownMarketError{Market: m}
	}
	u, found := spec.Uses[s]
	if !found || d.Services[s].Kind != k {
		return Resolution{}, &UnknownServiceError{Market: m, Service: s}
	}
	return Resolution{Revision: d.Revision, Market: m, Service: d.Services[s], Use: u}, nil
}
