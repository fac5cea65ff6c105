package main

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"slices"
	"strings"

	"github.com/spf13/cobra"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

// dayReport is the part of a bench's report of one day that is plotted.
type dayReport struct {
	name       string
	Worth      float64 `json:"G"`
	Parts      []part  `json:"parts"`
	Prices     []price `json:"prices"`
	UnservedBy []end   `json:"unserved_by"`
	All        struct {
		Asked  int `json:"n"`
		Late   int `json:"late"`
		Failed int `json:"failed"`
	} `json:"all"`
}

// part is a share of the worth: what it is taken over, its weight and its value.
type part struct {
	name          string
	weight, value float64
}

// price is what a day is charged for one thing.
type price struct {
	name           string
	amount, charge float64
}

// end counts the requests that were not served by how their last try ended.
type end struct {
	name  string
	count int
}

// UnmarshalJSON reads [name, weight, value].
func (p *part) UnmarshalJSON(b []byte) error { return unmarshalRow(b, &p.name, &p.weight, &p.value) }

// UnmarshalJSON reads [name, amount, charge].
func (p *price) UnmarshalJSON(b []byte) error { return unmarshalRow(b, &p.name, &p.amount, &p.charge) }

// UnmarshalJSON reads [name, count, ...].
func (e *end) UnmarshalJSON(b []byte) error { return unmarshalRow(b, &e.name, &e.count) }

// unmarshalRow reads the first elements of an array into fields.
func unmarshalRow(b []byte, fields ...any) error {
	var row []json.RawMessage
	if err := json.Unmarshal(b, &row); err != nil {
		return err
	}
	if len(row) < len(fields) {
		return fmt.Errorf("%d elements, want %d: %s", len(row), len(fields), b)
	}
	for i, f := range fields {
		if err := json.Unmarshal(row[i], f); err != nil {
			return err
		}
	}
	return nil
}

// losses returns the causes of lost worth, the same ones in the same order for each day.
func (r *dayReport) losses() (names []string, values []float64) {
	for _, p := range r.Parts {
		names, values = append(names, p.name), append(values, p.weight*(1-p.value))
	}
	rest := 0.0
	priced := map[string]float64{"machine-seconds": 0, "cloud calls": 0, "new connections to servers": 0, "memory, GB x seconds": 0}
	for _, p := range r.Prices {
		if _, own := priced[p.name]; own {
			priced[p.name] = p.charge
		} else {
			rest += p.charge
		}
	}
	for _, name := range []string{"machine-seconds", "cloud calls", "new connections to servers", "memory, GB x seconds"} {
		names, values = append(names, "price: "+name), append(values, priced[name])
	}
	return append(names, "other prices"), append(values, rest)
}

func worthCommand() *cobra.Command {
	var out string
	c := &cobra.Command{
		Use: "worth REPORT...", Short: "Draw the losses of worth by day and cause from reports of the users' bench", Args: cobra.MinimumNArgs(1),
		RunE: func(c *cobra.Command, files []string) error {
			var days []*dayReport
			for _, f := range files {
				r, err := readDay(f)
				if err != nil {
					return err
				}
				days = append(days, r)
			}
			printWorth(c.OutOrStdout(), days)
			return drawWorth(out, days)
		},
	}
	c.Flags().StringVar(&out, "plot", "worth.png", "file for the plot")
	return c
}

func readDay(file string) (*dayReport, error) {
	b, err := os.ReadFile(file)
	if err != nil {
		return nil, err
	}
	r := &dayReport{name: strings.TrimSuffix(filepath.Base(file), ".json")}
	if err := json.Unmarshal(b, r); err != nil {
		return nil, fmt.Errorf("%s: %w", file, err)
	}
	return r, nil
}

// printWorth writes a table in Markdown: worth, late requests, and lost ones by how their
// last try ended.
func printWorth(w io.Writer, days []*dayReport) {
	var ends []string
	for _, r := range days {
		for _, e := range r.UnservedBy {
			if !slices.Contains(ends, e.name) {
				ends = append(ends, e.name)
			}
		}
	}
	fmt.Fprintf(w, "| day | worth | requests | late | lost | %s |\n| --- |%s\n", strings.Join(ends, " | "), strings.Repeat(" --- |", 4+len(ends)))
	for _, r := range days {
		fmt.Fprintf(w, "| %s | %.3f | %d | %d | %d |", r.name, r.Worth, r.All.Asked, r.All.Late, r.All.Failed)
		for _, name := range ends {
			n := 0
			for _, e := range r.UnservedBy {
				if e.name == name {
					n = e.count
				}
			}
			fmt.Fprintf(w, " %d |", n)
		}
		fmt.Fprintln(w)
	}
}

// worthLegendSpace leaves room for the legend beside the longest bar.
const worthLegendSpace = 1.7

// causeColors tells more causes apart than one palette of the library.
var causeColors = append(slices.Clone(plotutil.SoftColors), plotutil.DarkColors...)

// drawWorth stacks the losses of each day.
func drawWorth(file string, days []*dayReport) error {
	p := plot.New()
	p.Title.Text, p.X.Label.Text = "Worth lost, by cause", "worth"
	p.Legend.Top = true
	var names []string
	slices.Reverse(days)
	for _, r := range days {
		names = append(names, fmt.Sprintf("%s (%.3f)", r.name, r.Worth))
	}
	causes, _ := days[0].losses()
	var below *plotter.BarChart
	for i, cause := range causes {
		values := make(plotter.Values, len(days))
		for j, r := range days {
			_, v := r.losses()
			values[j] = max(v[i], 0)
		}
		bars, err := plotter.NewBarChart(values, vg.Points(barWidth))
		if err != nil {
			return err
		}
		bars.Horizontal, bars.Color, bars.LineStyle.Width = true, causeColors[i%len(causeColors)], 0
		if below != nil {
			bars.StackOn(below)
		}
		below = bars
		p.Add(bars)
		p.Legend.Add(cause, bars)
	}
	p.NominalY(names...)
	p.X.Max *= worthLegendSpace
	height := vg.Length(len(days))*vg.Points(barWidth+6) + 3*vg.Centimeter
	return p.Save(plotWidth, height, file)
}
