// Package deps keeps the declared libraries in go.mod until all packages that use
// them are in the tree.
package deps

import (
	_ "github.com/HdrHistogram/hdrhistogram-go"
	_ "github.com/VictoriaMetrics/metrics"
	_ "github.com/cockroachdb/datadriven"
	_ "github.com/google/go-cmp/cmp"
	_ "github.com/pires/go-proxyproto"
	_ "github.com/plgd-dev/go-coap/v3/message"
	_ "github.com/plgd-dev/go-coap/v3/udp"
	_ "github.com/plgd-dev/go-coap/v3/udp/coder"
	_ "github.com/qmuntal/stateless"
	_ "github.com/rs/zerolog"
	_ "github.com/spf13/cobra"
	_ "github.com/spf13/pflag"
	_ "golang.org/x/time/rate"
	_ "gonum.org/v1/plot"
	_ "gonum.org/v1/plot/plotter"
	_ "gonum.org/v1/plot/plotutil"
	_ "gonum.org/v1/plot/vg"
	_ "gopkg.in/yaml.v3"
	_ "pgregory.net/rapid"
)
