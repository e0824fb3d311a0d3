package main

import (
	"cmp"
	"context"
	"image/color"
	"slices"
	"strconv"
	"text/tabwriter"
	"time"

	"github.com/cockroachdb/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

const reportLong = `Counts from the logs of a deployment's processes the requests that missed their
routes' objectives: by route, by time, and by endpoint. FILEs are logs, "-" is
standard input.`

// The size of the plot.
const (
	reportWidth  = 24 * vg.Centimeter
	reportHeight = 12 * vg.Centimeter
	barWidth     = 9 * vg.Millimeter
	// leftGray is the shade of lossLeft in the plot, because the palette has one colour less than
	// there are losses.
	leftGray = 0x99
)

// worstEndpoints is the number of endpoints that a report lists.
const worstEndpoints = 5

type reportCommand struct {
	Every time.Duration `default:"2s" description:"time span of a row of the table by time" long:"every" value-name:"DURATION"`
	Plot  string        `description:"file for a plot of the losses by time (.svg or .png)" long:"plot" value-name:"FILE"`
	Args  struct {
		Files []string `positional-arg-name:"FILE" required:"1"`
	} `positional-args:"yes" required:"yes"`
}

// A lossTable counts requests by row and loss.
type lossTable map[string]map[loss]int

func (t lossTable) add(row string, l loss) {
	if t[row] == nil {
		t[row] = map[loss]int{}
	}
	t[row][l]++
}

// total returns the number of requests of a row.
func (t lossTable) total(row string) int {
	n := 0
	for _, c := range t[row] {
		n += c
	}
	return n
}

func (c *reportCommand) run(_ context.Context, a *app) error {
	if c.Every <= 0 {
		return &usageError{detail: "--every: want a positive duration"}
	}
	traces := map[string]*trace{}
	for _, f := range c.Args.Files {
		err := a.scanLog(f, "request=", func(l logLine) {
			id := l.keys["request"]
			if traces[id] == nil {
				traces[id] = &trace{}
			}
			traces[id].add(l)
		})
		if err != nil {
			return err
		}
	}
	var ended []*trace
	for _, t := range traces {
		if t.end.event != "" && t.end.keys["status"] != "404" {
			ended = append(ended, t)
		}
	}
	if len(ended) == 0 {
		return &noRequestsError{files: c.Args.Files}
	}
	slices.SortFunc(ended, func(a, b *trace) int { return a.end.at.Compare(b.end.at) })
	return c.print(a, ended)
}

// print writes the tables, and the plot if a file is given for it.
func (c *reportCommand) print(a *app, ended []*trace) error {
	routes, times, endpoints := lossTable{}, lossTable{}, lossTable{}
	var steps []string
	for _, t := range ended {
		l := t.loss()
		routes.add(cmp.Or(t.sent.keys["route"], "(not sent)"), l)
		step := "+" + t.end.at.Sub(ended[0].end.at).Truncate(c.Every).String()
		if times[step] == nil {
			steps = append(steps, step)
		}
		times.add(step, l)
		if e := t.sent.keys["endpoint"]; e != "" {
			endpoints.add(e, l)
		}
	}
	if err := a.printLosses("route", routes, rowsOf(routes)); err != nil {
		return err
	}
	if err := a.printLosses("ended", times, steps); err != nil {
		return err
	}
	rows := rowsOf(endpoints)
	slices.SortStableFunc(rows, func(x, y string) int { return cmp.Compare(endpoints.missed(y), endpoints.missed(x)) })
	if err := a.printLosses("endpoint", endpoints, rows[:min(worstEndpoints, len(rows))]); err != nil {
		return err
	}
	if c.Plot == "" {
		return nil
	}
	return plotLosses(c.Plot, times, steps)
}

// missed returns the number of requests of a row that missed their routes' objectives.
func (t lossTable) missed(row string) int { return t.total(row) - t[row][lossNone] }

func rowsOf(t lossTable) []string {
	var rows []string
	for r := range t {
		rows = append(rows, r)
	}
	slices.Sort(rows)
	return rows
}

func (a *app) printLosses(title string, t lossTable, rows []string) error {
	w := tabwriter.NewWriter(a.streams.out, 0, 0, 2, ' ', tabwriter.AlignRight)
	write := func(cells ...string) {
		for _, c := range cells {
			_, _ = w.Write([]byte(c + "\t"))
		}
		_, _ = w.Write([]byte("\n"))
	}
	head := []string{title, "requests"}
	for _, l := range losses() {
		head = append(head, string(l))
	}
	write(head...)
	for _, r := range rows {
		cells := []string{r, strconv.Itoa(t.total(r))}
		for _, l := range losses() {
			cells = append(cells, strconv.Itoa(t[r][l]))
		}
		write(cells...)
	}
	if err := w.Flush(); err != nil {
		return errors.Wrap(err, "printing a report")
	}
	return a.printf("\n")
}

// plotLosses draws the losses by time as stacked bars.
func plotLosses(file string, t lossTable, steps []string) error {
	p := plot.New()
	p.Title.Text = "Requests that missed their routes' objectives"
	p.X.Label.Text = "ended"
	p.Y.Label.Text = "requests"
	p.Legend.Top = true
	var below *plotter.BarChart
	for i, l := range losses()[1:] {
		v := make(plotter.Values, 0, len(steps))
		for _, s := range steps {
			v = append(v, float64(t[s][l]))
		}
		b, err := plotter.NewBarChart(v, barWidth)
		if err != nil {
			return errors.Wrap(err, "drawing a report")
		}
		b.Color, b.LineStyle.Width = plotutil.Color(i), 0
		if l == lossLeft {
			b.Color = color.Gray{Y: leftGray}
		}
		if below != nil {
			b.StackOn(below)
		}
		below = b
		p.Add(b)
		p.Legend.Add(string(l), b)
	}
	p.NominalX(steps...)
	return errors.Wrap(p.Save(reportWidth, reportHeight, file), "writing a report's plot")
}
