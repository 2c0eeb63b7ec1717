package bench

import (
	"fmt"
	"maps"
	"os"
	"slices"
	"text/tabwriter"

	"github.com/pkg/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

const (
	plotWidth  = 18 * vg.Centimeter
	plotHeight = 12 * vg.Centimeter
)

// report has the data of the table and the plots.
type report struct {
	figures []Figure
	rows    []row
}

// row is the outcome of one load of one client.
type row struct {
	shape, phase, client string
	out                  *Outcome
}

func (r *report) add(shape, phase, client string, out *Outcome) {
	r.rows = append(r.rows, row{shape, phase, client, out})
}

// write writes table.txt and one plot for each shape and phase.
func (r *report) write(dir string) error {
	if err := os.MkdirAll(dir, 0o750); err != nil {
		return errors.Wrap(err, "create report directory")
	}
	if err := r.table(reportPath(dir, "table.txt")); err != nil {
		return err
	}
	done := map[string]bool{}
	for _, row := range r.rows {
		name := row.shape + "-" + row.phase
		if done[name] {
			continue
		}
		done[name] = true
		if err := r.plot(row.shape, row.phase, reportPath(dir, name+".svg")); err != nil {
			return errors.Wrapf(err, "plot %s", name)
		}
	}
	return nil
}

func (r *report) table(path string) error {
	file, err := os.Create(path) //nolint:gosec // The path is the user's choice.
	if err != nil {
		return errors.Wrap(err, "create table")
	}
	defer file.Close()
	w := tabwriter.NewWriter(file, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "shape\tphase\tclient\trate/s\tsent\tin time\trefused\tp50 ms\tp90 ms\tp99 ms\tp99.9 ms\tlag p99 ms")
	for _, row := range r.rows {
		o := row.out
		at := func(q float64) float64 { return float64(o.Latency.ValueAtQuantile(q)) / 1000 }
		fmt.Fprintf(w, "%s\t%s\t%s\t%.0f\t%d\t%d\t%d\t%.1f\t%.1f\t%.1f\t%.1f\t%.1f\n", row.shape, row.phase, row.client,
			o.Rate, o.Sent, o.InTime, o.Refused, at(50), at(90), at(99), at(99.9), p99Millis(o.Lag))
	}
	fmt.Fprintln(w, "\nshape\tfigure\tvalue\tunit\tbase\tbound\tnote")
	for _, f := range r.figures {
		base := "-"
		if f.Base != nil {
			base = fmt.Sprintf("%.3g", *f.Base)
		}
		fmt.Fprintf(w, "%s\t%s\t%.4g\t%s\t%s\t%s\t%s\n", f.Shape, f.Name, f.Value, f.Unit, base, f.Bound, f.Note)
	}
	fmt.Fprintln(w, "\nshape\tphase\tclient\trefusals\treason")
	for _, row := range r.rows {
		for _, reason := range slices.Sorted(maps.Keys(row.out.Reasons)) {
			fmt.Fprintf(w, "%s\t%s\t%s\t%d\t%s\n", row.shape, row.phase, row.client, row.out.Reasons[reason], reason)
		}
	}
	return errors.Wrap(w.Flush(), "write table")
}

// plot draws the latency of each client of a phase by quantile. The axis of the quantiles is
// logarithmic: p90, p99 and p99.9 are at equal distances.
func (r *report) plot(shape, phase, path string) error {
	p := plot.New()
	p.Title.Text = shape + ", " + phase
	p.X.Label.Text, p.Y.Label.Text = "1 / (1 - quantile)", "latency in ms"
	p.X.Scale, p.X.Tick.Marker = plot.LogScale{}, plot.LogTicks{Prec: -1}
	p.X.Min, p.X.Max = 1, 1000
	p.Y.Min = 0
	p.Legend.Top, p.Legend.Left = true, true
	var lines []any
	for _, row := range r.rows {
		if row.shape != shape || row.phase != phase {
			continue
		}
		var points plotter.XYs
		for x := 1.0; x <= 1000; x *= 1.1 {
			points = append(points, plotter.XY{X: x, Y: float64(row.out.Latency.ValueAtQuantile(100-100/x)) / 1000})
		}
		lines = append(lines, row.client, points)
	}
	if err := plotutil.AddLines(p, lines...); err != nil {
		return errors.Wrap(err, "add lines")
	}
	return errors.Wrap(p.Save(plotWidth, plotHeight, path), "save plot")
}
