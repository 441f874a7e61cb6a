// Gauges by label whose values are kept elsewhere.

package metrics

import (
	"github.com/prometheus/client_golang/prometheus"
)

type (
	// scraped reads its values at each scrape.
	scraped struct {
		description *prometheus.Desc
		read        func() map[string]float64
	}
)

// Describe implements prometheus.Collector.
func (scraped *scraped) Describe(descriptions chan<- *prometheus.Desc) {
	descriptions <- scraped.description
}

// Collect implements prometheus.Collector.
func (scraped *scraped) Collect(values chan<- prometheus.Metric) {
	for label, value := range scraped.read() {
		values <- prometheus.MustNewConstMetric(scraped.description, prometheus.GaugeValue, value, label)
	}
}
