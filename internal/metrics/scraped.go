// A gauge vector whose values are read from a function.

package metrics

import (
	"github.com/prometheus/client_golang/prometheus"
)

type (
	// gaugeVecFunc is a gauge with one label whose values are read at each scrape.
	gaugeVecFunc struct {
		description *prometheus.Desc
		read        func() map[string]float64
	}
)

// Describe implements prometheus.Collector.
func (gaugeVecFunc *gaugeVecFunc) Describe(descriptions chan<- *prometheus.Desc) {
	descriptions <- gaugeVecFunc.description
}

// Collect implements prometheus.Collector.
func (gaugeVecFunc *gaugeVecFunc) Collect(values chan<- prometheus.Metric) {
	for label, value := range gaugeVecFunc.read() {
		values <- prometheus.MustNewConstMetric(gaugeVecFunc.description, prometheus.GaugeValue, value, label)
	}
}
