package main

import (
	"cmp"
	"context"
	"fmt"
	"maps"
	"slices"
	"text/tabwriter"
	"time"

	"github.com/cockroachdb/errors"

	ggscore "greengageslip/core"
	"greengageslip/io/ggsconfig"
	"greengageslip/io/ggsedge"
)

const statusLong = `Shows the revision of the document at the platform, the
revision in force in each entry process whose state address is known (--entry
or the settings), the VMs that are leaving, and the entries of the users' platform
that VMs can't read. It exits with 1 if a process
can't be reached or has another revision than the platform, so that a script
can wait for a change to be in force everywhere.`

type statusCommand struct{}

// unknownText is printed for an unknown value.
const unknownText = "-"

func (c *statusCommand) run(ctx context.Context, a *app) error {
	p, err := a.client()
	if err != nil {
		return err
	}
	defer p.Close()
	// The processes' states are shown even while the platform is unavailable.
	h, headErr := ggsconfig.NewEditor(a.store(p, true), ggsconfig.EditorOptions{}).ReadHead(ctx)
	vms, listErr := p.ListVMs(ctx)
	var partial *ggscore.PartialListError
	listed := listErr == nil || errors.As(listErr, &partial)
	states := a.states(ctx)

	if headErr != nil {
		err = a.printf("platform: %v\n", headErr)
	} else {
		err = a.printf("platform: revision %d\n", h.Revision)
	}
	if err == nil && headErr == nil && listErr != nil {
		err = a.printf("list of VMs: %v\n", listErr)
	}
	if err != nil {
		return err
	}
	if err = printStates(a, states, vms, listed); err != nil {
		return err
	}
	if err = printLeaving(a, vms); err != nil {
		return err
	}
	if err = printUnreadable(a, states); err != nil {
		return err
	}
	if headErr != nil || listErr != nil || !inForce(states, h.Revision) {
		return &shownError{code: exitFailure}
	}
	return nil
}

// inForce reports whether all processes have the revision.
func inForce(l []processState, r ggscore.Revision) bool {
	for _, s := range l {
		if s.err != nil || s.revision != r {
			return false
		}
	}
	return true
}

// printStates prints a row for each process. Without the list of VMs their states are
// unknown.
func printStates(a *app, l []processState, vms []ggscore.VM, listed bool) error {
	if len(l) == 0 {
		return nil
	}
	byID := make(map[ggscore.VMID]ggscore.VM, len(vms))
	for _, v := range vms {
		byID[v.ID] = v
	}
	sorted := slices.SortedStableFunc(slices.Values(l), func(x, y processState) int {
		return cmp.Or(
			cmp.Compare(byID[x.vm].Region, byID[y.vm].Region),
			cmp.Compare(x.vm, y.vm), cmp.Compare(x.program, y.program), x.addr.Compare(y.addr),
		)
	})
	w := tabwriter.NewWriter(a.streams.out, 0, 0, 2, ' ', 0)
	r := rows{w: w}
	r.add("REGION", "DOMAIN", "VM", "PROGRAM", "STATE", "REVISION")
	for _, s := range sorted {
		if s.err != nil {
			r.add(unknownText, unknownText, s.addr.String(), unknownText, "unreachable", unknownText)
			continue
		}
		v, found := byID[s.vm]
		state := stateText(v, found)
		if !listed {
			state = unknownText
		}
		r.add(orUnknown(string(v.Region)), orUnknown(string(v.Domain)), string(s.vm), s.program,
			state, revision(s.revision))
	}
	return w.Flush()
}

// printLeaving prints the entry VMs and endpoints that are leaving.
func printLeaving(a *app, vms []ggscore.VM) error {
	for _, v := range vms {
		if v.State != ggscore.VMLeaving {
			continue
		}
		what := "entry VM"
		if v.Role == ggscore.RoleEndpoint {
			what = fmt.Sprintf("endpoint of %s", v.Service)
		}
		if err := a.printf("leaving: %s %s in %s\n", what, v.ID, v.Domain); err != nil {
			return err
		}
	}
	return nil
}

// printUnreadable prints the entries that VMs can't read, each once, with the longest time.
func printUnreadable(a *app, l []processState) error {
	type place struct {
		key  ggscore.Key
		part string
	}
	longest := map[place]ggsedge.DefectState{}
	for _, s := range l {
		if s.edge == nil {
			continue
		}
		for _, d := range s.edge.Unreadable {
			if k, ok := longest[place{d.Key, d.Part}]; !ok || d.Age > k.Age {
				longest[place{d.Key, d.Part}] = d
			}
		}
	}
	ds := slices.SortedFunc(maps.Values(longest), func(x, y ggsedge.DefectState) int {
		return cmp.Or(cmp.Compare(x.Key, y.Key), cmp.Compare(x.Part, y.Part))
	})
	for _, d := range ds {
		err := a.printf("unreadable: %q %srevision %d for %s: %s\n", d.Key, suffixed(d.Part, ", "), d.Revision, d.Age.Round(time.Second), d.Reason)
		if err != nil {
			return err
		}
	}
	return nil
}

// suffixed returns a text with a suffix, unless it is empty.
func suffixed(s, suffix string) string {
	if s == "" {
		return ""
	}
	return s + suffix
}

func stateText(v ggscore.VM, found bool) string {
	switch {
	case !found:
		return "unlisted"
	case v.State == ggscore.VMLeaving:
		return "leaving"
	}
	return "live"
}

func orUnknown(s string) string {
	if s == "" {
		return unknownText
	}
	return s
}
