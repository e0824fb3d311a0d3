package main

import (
	"context"
	"encoding/csv"
	"fmt"
	"image/color"
	"io"
	"os"
	"strconv"
	"text/tabwriter"

	"github.com/cockroachdb/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

const reportLong = `Prints a table of results. With --csv it also writes the table as CSV, and with
--png a plot of the load stalls over time.`

// The size of the plot.
const (
	plotWidth  = 24 * vg.Centimeter
	plotHeight = 14 * vg.Centimeter
)

// A reportCommand compares results.
type reportCommand struct {
	CSV  string `long:"csv" value-name:"FILE" description:"file for the table as CSV"`
	PNG  string `long:"png" value-name:"FILE" description:"file for the plot"`
	Args struct {
		Files []string `positional-arg-name:"RESULT" required:"1"`
	} `positional-args:"true"`
}

// run implements command.
func (r *reportCommand) run(_ context.Context, a *app) error {
	results := []*result{}
	for _, f := range r.Args.Files {
		res, err := readResult(f)
		if err != nil {
			return err
		}
		results = append(results, res)
	}
	if err := printTable(a.out, results); err != nil {
		return err
	}
	if r.CSV != "" {
		if err := writeCSV(r.CSV, results); err != nil {
			return err
		}
	}
	if r.PNG != "" {
		return writePlot(r.PNG, results)
	}
	return nil
}

// header returns the names of the table's columns.
func header() []string {
	return []string{
		"name", "seed", "sent", "done", "notRun", "unknown", "wrong", "dropped",
		"firstByteP50Micros", "firstByteP95Micros", "firstByteP99Micros",
		"stallP50Micros", "stallP95Micros", "stallP99Micros", "gapP95Micros",
	}
}

// row returns a result's row of the table.
func (r *result) row() []string {
	row := []string{r.Name, strconv.FormatUint(r.Seed, 10)}
	for _, n := range []int{r.Sent, r.Done, r.NotRun, r.Unknown, r.Wrong, r.Dropped} {
		row = append(row, strconv.Itoa(n))
	}
	for _, n := range []int64{
		r.FirstByte.P50, r.FirstByte.P95, r.FirstByte.P99,
		r.Stall.P50, r.Stall.P95, r.Stall.P99, r.Gap.P95,
	} {
		row = append(row, strconv.FormatInt(n, 10))
	}
	return row
}

// printTable prints the table with aligned columns.
func printTable(out io.Writer, results []*result) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	rows := [][]string{header()}
	for _, r := range results {
		rows = append(rows, r.row())
	}
	for _, row := range rows {
		for _, s := range row {
			_, _ = fmt.Fprintf(w, "%s\t", s)
		}
		_, _ = fmt.Fprintln(w)
	}
	return errors.Wrap(w.Flush(), "printing the table")
}

// writeCSV writes the table as CSV.
func writeCSV(file string, results []*result) error {
	f, err := os.Create(file)
	if err != nil {
		return errors.Wrap(err, "writing the table")
	}
	w := csv.NewWriter(f)
	_ = w.Write(header())
	for _, r := range results {
		_ = w.Write(r.row())
	}
	w.Flush()
	return errors.Wrap(errors.CombineErrors(w.Error(), f.Close()), "writing the table")
}

// writePlot draws the 95th percentile of the load stalls over time.
func writePlot(file string, results []*result) error {
	p := plot.New()
	p.Title.Text = "Load stalls, 95th percentile by second"
	p.X.Label.Text = "seconds"
	p.Y.Label.Text = "milliseconds"
	p.Add(plotter.NewGrid())
	for i, r := range results {
		points := plotter.XYs{}
		for s, x := range r.Seconds {
			points = append(points, plotter.XY{X: float64(s), Y: float64(x.StallP95) / 1000})
		}
		if len(points) == 0 {
			continue
		}
		l, err := plotter.NewLine(points)
		if err != nil {
			return errors.Wrap(err, "drawing the plot")
		}
		l.Color = lineColor(i)
		p.Add(l)
		p.Legend.Add(r.Name, l)
	}
	return errors.Wrap(p.Save(plotWidth, plotHeight, file), "writing the plot")
}

// lineColor returns the colour of a result's line.
func lineColor(i int) color.Color { return plotutil.Color(i) }
