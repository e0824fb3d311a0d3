package ggssettings

import (
	"net/netip"
	"strconv"
	"time"

	ggscore "greengageslip/core"
	"greengageslip/core/ggsschedule"
	"greengageslip/io/ggslog"
	"greengageslip/io/ggstoml"
)

// The files are flat: embedding would hide the keys from the strict decoder's
// messages.
type nodeFile struct {
	VM           string           `toml:"vm"`
	Region       string           `toml:"region"`
	Domain       string           `toml:"domain"`
	Listen       netip.AddrPort   `toml:"listen"`
	StateListen  netip.AddrPort   `toml:"stateListen"`
	Platform     netip.AddrPort   `toml:"platform"`
	Dispatchers  []netip.AddrPort `toml:"dispatchers"`
	LogLevel     string           `toml:"logLevel"`
	DrainTimeout ggstoml.Duration `toml:"drainTimeout"`
	ListInterval ggstoml.Duration `toml:"listInterval"`
	MemoryBytes  int              `toml:"memoryBytes"`
	MaxFiles     int              `toml:"maxFiles"`
}

type gatewayFile struct {
	nodeFile
	DefaultService string `toml:"defaultService"`
	MaxInFlight    int    `toml:"maxInFlight"`
	MaxAttempts    int    `toml:"maxAttempts"`
}

type dispatcherFile struct {
	nodeFile
	RequestWorkers int              `toml:"requestWorkers"`
	OrderWorkers   int              `toml:"orderWorkers"`
	LeaseTTL       ggstoml.Duration `toml:"leaseTtl"`
	Policy         string           `toml:"policy"`
}

var (
	_ ggstoml.Checker = (*gatewayFile)(nil)
	_ ggstoml.Checker = (*dispatcherFile)(nil)
)

// Check implements ggstoml.Checker.
func (f *dispatcherFile) Check() error {
	if err := f.check(); err != nil {
		return err
	}
	if f.LeaseTTL != 0 && time.Duration(f.LeaseTTL) < minLeaseTTL {
		return &ggstoml.ValueError{Key: "leaseTtl", Want: "at least " + minLeaseTTL.String()}
	}
	if f.policy().String() != f.Policy && f.Policy != "" {
		return &ggstoml.ValueError{Key: "policy", Want: "cost, random, leastLoaded or rendezvousLRU"}
	}
	return firstError(checkNonNegative("requestWorkers", f.RequestWorkers), checkNonNegative("orderWorkers", f.OrderWorkers))
}

// policy returns the scheduling policy, PolicyCost for an unknown or empty name.
func (f *dispatcherFile) policy() ggsschedule.Policy {
	for _, p := range []ggsschedule.Policy{ggsschedule.PolicyRandom, ggsschedule.PolicyLeastLoaded, ggsschedule.PolicyRendezvousLRU} {
		if p.String() == f.Policy {
			return p
		}
	}
	return ggsschedule.PolicyCost
}

// Check implements ggstoml.Checker.
func (f *gatewayFile) Check() error {
	if err := f.check(); err != nil {
		return err
	}
	return firstError(checkNonNegative("maxInFlight", f.MaxInFlight), checkNonNegative("maxAttempts", f.MaxAttempts))
}

func (f *nodeFile) check() error {
	return firstError(
		checkName("vm", f.VM), checkName("region", f.Region), checkName("domain", f.Domain),
		checkAddr("listen", f.Listen), checkAddr("stateListen", f.StateListen), checkAddr("platform", f.Platform),
		f.checkDispatchers(), f.checkLevel(),
		checkDuration("drainTimeout", f.DrainTimeout), checkDuration("listInterval", f.ListInterval),
		checkNonNegative("memoryBytes", f.MemoryBytes), checkNonNegative("maxFiles", f.MaxFiles),
	)
}

func (f *nodeFile) checkDispatchers() error {
	for i, a := range f.Dispatchers {
		if err := checkAddr("dispatchers["+strconv.Itoa(i)+"]", a); err != nil {
			return err
		}
	}
	return nil
}

func (f *nodeFile) checkLevel() error {
	if f.LogLevel != "" && !ggslog.Level(f.LogLevel).Valid() {
		return &ggstoml.ValueError{Key: "logLevel", Want: "debug, info, warn or error"}
	}
	return nil
}

func (f *nodeFile) node() Node {
	l := ggslog.Level(f.LogLevel)
	if l == "" {
		l = ggslog.LevelInfo
	}
	return Node{
		VM: ggscore.VMID(f.VM), Region: ggscore.Region(f.Region), Domain: ggscore.Domain(f.Domain),
		Listen: f.Listen, StateListen: f.StateListen, Platform: f.Platform,
		Dispatchers: f.Dispatchers, LogLevel: l,
		DrainTimeout: orDefault(f.DrainTimeout, defaultDrainTimeout),
		ListInterval: orDefault(f.ListInterval, defaultListInterval),
		MemoryBytes:  int64(f.MemoryBytes), MaxFiles: f.MaxFiles,
	}
}

func checkAddr(key string, a netip.AddrPort) error {
	if !a.IsValid() || a.Port() == 0 {
		return &ggstoml.ValueError{Key: key, Want: "an IP address with a port, such as \"10.0.0.1:7100\""}
	}
	return nil
}

func checkNonNegative(key string, n int) error {
	if n < 0 {
		return &ggstoml.ValueError{Key: key, Want: "at least 0, which means the default"}
	}
	return nil
}

func firstError(errs ...error) error {
	for _, err := range errs {
		if err != nil {
			return err
		}
	}
	return nil
}

func checkDuration(key string, d ggstoml.Duration) error {
	if d < 0 {
		return &ggstoml.ValueError{Key: key, Want: "a positive duration"}
	}
	return nil
}

func checkName(key, v string) error {
	if v == "" {
		return &ggstoml.ValueError{Key: key, Want: "a name"}
	}
	return nil
}
