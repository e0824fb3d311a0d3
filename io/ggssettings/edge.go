package ggssettings

import (
	"slices"
	"strconv"
	"strings"

	ggscore "greengageslip/core"
	"greengageslip/io/ggstoml"
)

type policyFile struct {
	Off []string `toml:"off"`
}

var _ ggstoml.Checker = (*policyFile)(nil)

// Check implements ggstoml.Checker.
func (f *policyFile) Check() error {
	for i, n := range f.Off {
		if !slices.Contains(ggscore.Mechanisms(), ggscore.Mechanism(n)) {
			return &ggstoml.ValueError{Key: "off[" + strconv.Itoa(i) + "]", Want: "one of " + mechanismNames()}
		}
	}
	return nil
}

func mechanismNames() string {
	var ns []string
	for _, m := range ggscore.Mechanisms() {
		ns = append(ns, string(m))
	}
	return strings.Join(ns, ", ")
}

// ReadPolicy reads the policy of an edge, which lists the mechanisms that are
// switched off. Failures are *ggstoml.ReadError and *ggstoml.DecodeError.
func ReadPolicy(path string) (ggscore.Policy, error) {
	var f policyFile
	if err := ggstoml.ReadSettings(path, &f); err != nil {
		return ggscore.Policy{}, err
	}
	var p ggscore.Policy
	for _, n := range f.Off {
		p.Off = append(p.Off, ggscore.Mechanism(n))
	}
	return p, nil
}
