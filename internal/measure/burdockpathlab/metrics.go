package burdockpathlab

import (
	"bufio"
	"context"
	"io"
	"net/http"
	"os"
	"strconv"
	"strings"
	"time"

	"burdockbend.example/burdockbend/internal/serve/burdockadmin"
	"github.com/dghubble/sling"
	"github.com/joomcode/errorx"
)

const metricsTimeout = 5 * time.Second

// Names of the metrics that every process exports.
const (
	metricProcessor = "process_cpu_seconds_total"
	metricMemory    = "process_resident_memory_bytes"
)

// reading holds the metrics of a process at one time.
type reading struct {
	processorTime time.Duration
	memory        int64 // bytes
}

// readMetrics fetches the processor time and the memory of a process.
func readMetrics(ctx context.Context, admin string) (reading, error) {
	ctx, cancel := context.WithTimeout(ctx, metricsTimeout)
	defer cancel()
	req, err := sling.New().Base("http://" + admin).Get(burdockadmin.PathMetrics).Request()
	if err != nil {
		return reading{}, errorx.IllegalArgument.Wrap(err, "address %s", admin)
	}
	res, err := http.DefaultClient.Do(req.WithContext(ctx))
	if err != nil {
		return reading{}, errorx.Decorate(err, "read metrics of %s", admin)
	}
	defer func() { _ = res.Body.Close() }()
	return parseMetrics(res.Body)
}

// parseMetrics reads both metrics from the Prometheus text format.
func parseMetrics(r io.Reader) (reading, error) {
	values := map[string]float64{}
	lines := bufio.NewScanner(r)
	for lines.Scan() {
		name, number, _ := strings.Cut(lines.Text(), " ")
		if name != metricProcessor && name != metricMemory {
			continue
		}
		value, err := strconv.ParseFloat(number, 64)
		if err != nil {
			return reading{}, errorx.IllegalFormat.Wrap(err, "metric %s", name)
		}
		values[name] = value
	}
	if len(values) != 2 {
		return reading{}, errorx.IllegalFormat.New("the metrics lack %s or %s", metricProcessor, metricMemory)
	}
	return reading{
		processorTime: time.Duration(values[metricProcessor] * float64(time.Second)),
		memory:        int64(values[metricMemory]),
	}, lines.Err()
}

// machineLoad returns the load averages that the kernel reports: the runnable tasks,
// averaged over one, five and fifteen minutes.
func machineLoad() string {
	data, err := os.ReadFile("/proc/loadavg")
	if err != nil {
		return "not known"
	}
	fields := strings.Fields(string(data))
	return strings.Join(fields[:min(3, len(fields))], " ")
}
