package measure

import (
	"fmt"
	"image/color"
	"math"
	"path/filepath"

	"dunereach/emulator/zones"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

// chartedDay is a simulated day that docs/zones.md shows as a chart.
type chartedDay struct {
	name, title string
	settings    zones.Settings
}

func chartedDays() []chartedDay {
	threeZones := func(load float64, faults ...zones.Fault) zones.Settings {
		return zones.Settings{Zones: 3, Regions: 1, Routers: 30, Load: load, Seed: 1, Duration: 90, Faults: faults}
	}
	return []chartedDay{
		{"zone-lost", "a zone's servers are gone from 20 s to 45 s", threeZones(0.55, zones.Fault{At: 20, Until: 45, Kind: zones.ServersDown, Zone: 0})},
		{"two-lost", "two zones' servers are gone, the third lacks capacity for all load", threeZones(0.55, zones.Fault{At: 20, Until: 45, Kind: zones.ServersDown, Zone: 0},
			zones.Fault{At: 21, Until: 45, Kind: zones.ServersDown, Zone: 1})},
		{"flapping", "a zone fails and recovers every 5 s from 20 s to 60 s", threeZones(0.55, zones.Fault{At: 20, Until: 60, Kind: zones.Flapping, Zone: 0, By: 5})},
	}
}

// WriteCharts writes charts of three simulated days as SVG files: the load offered to each zone by second, with the fleet's plans and with
// the existing local rule. It returns a table of the served shares for each.
func WriteCharts(dir string) (tables string, err error) {
	for _, c := range chartedDays() {
		p := plot.New()
		p.Title.Text = c.title
		p.X.Label.Text, p.Y.Label.Text = "seconds", "core seconds per second offered"
		p.Legend.Top = true
		for k, rule := range []zones.Rule{zones.Planned, zones.Local} {
			name := []string{"plans", "local rule"}[k]
			c.settings.Rule = rule
			r, err := zones.Play(c.settings)
			if err != nil {
				return "", err
			}
			tables += fmt.Sprintf("\n%s, %s (served share at 15, 22, 25, 30, 40, 50, 60, 80 s):", c.name, name)
			for _, at := range []int{15, 22, 25, 30, 40, 50, 60, 80} {
				tables += fmt.Sprintf(" %.2f", r.Served[at])
			}
			for z := range c.settings.Zones {
				line := make(plotter.XYs, len(r.OfferedBySecond))
				for t := range r.OfferedBySecond {
					line[t].X, line[t].Y = float64(t), r.OfferedBySecond[t][z]
				}
				l, err := plotter.NewLine(line)
				if err != nil {
					return "", err
				}
				if l.Color = plotutil.Color(z); rule == zones.Local {
					l.Dashes = []vg.Length{vg.Points(3), vg.Points(3)}
				}
				p.Add(l)
				p.Legend.Add(fmt.Sprintf("zone %d, %s", z, name), l)
			}
		}
		for _, f := range c.settings.Faults {
			for _, at := range []float64{f.At, f.Until} {
				faultLine, err := plotter.NewLine(plotter.XYs{{X: at, Y: 0}, {X: at, Y: math.Max(p.Y.Max, 1)}})
				if err != nil {
					return "", err
				}
				faultLine.Color = color.Gray{Y: 128}
				p.Add(faultLine)
			}
		}
		if err := p.Save(18*vg.Centimeter, 9*vg.Centimeter, filepath.Join(dir, c.name+".svg")); err != nil {
			return "", err
		}
	}
	return tables, nil
}
