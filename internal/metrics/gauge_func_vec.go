// A gauge vector whose values are read from a function.

package metrics

import (
	"github.com/prometheus/client_golang/prometheus"
)

type (
	// gaugeFuncVec is a gauge with one label whose values are read at each scrape.
	gaugeFuncVec struct {
		description *prometheus.Desc
		// read returns the current values by label value.
		read func() map[string]float64
	}
)

// Describe implements prometheus.Collector.
func (gaugeFuncVec *gaugeFuncVec) Describe(descriptions chan<- *prometheus.Desc) {
	descriptions <- gaugeFuncVec.description
}

// Collect implements prometheus.Collector.
func (gaugeFuncVec *gaugeFuncVec) Collect(values chan<- prometheus.Metric) {
	for label, value := range gaugeFuncVec.read() {
		values <- prometheus.MustNewConstMetric(gaugeFuncVec.description, prometheus.GaugeValue, value, label)
	}
}
