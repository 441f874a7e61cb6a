package disk_test

import (
	"os"
	"path/filepath"
	"slices"
	"strings"
	"syscall"
	"testing"

	"github.com/onsi/ginkgo/v2"
	"github.com/onsi/gomega"

	"gitlab.com/comfreythread/comfreythread/internal/disk"
	"gitlab.com/comfreythread/comfreythread/internal/standin"
)

type (
	// change is one call of the workload.
	change struct {
		rewrite bool
		records []string
	}
)

// lateDisk finds at the sync that it has no space.
type (
	lateDisk struct{ *standin.Disk }
	lateFile struct{ disk.File }
)

func (late lateDisk) Create(path string) (disk.File, error) {
	file, err := late.Disk.Create(path)
	return lateFile{file}, err
}

func (lateFile) Sync() error { return syscall.ENOSPC }

func TestDisk(t *testing.T) {
	gomega.RegisterFailHandler(ginkgo.Fail)
	ginkgo.RunSpecs(t, "disk")
}

func workload() []change {
	large := strings.Repeat("x", 1500)
	return []change{
		{rewrite: true, records: []string{"a"}},
		{records: []string{"b", "c" + large}},
		{records: []string{"d"}},
		{rewrite: true, records: []string{"e" + large, "f"}},
		{records: []string{"g"}},
		{records: []string{"h", "i", "j" + large}},
		{rewrite: true, records: []string{"k"}},
	}
}

func encode(records []string) [][]byte {
	var encoded [][]byte
	for _, record := range records {
		encoded = append(encoded, []byte(record))
	}
	return encoded
}

func read(log *disk.Log) []string {
	var records []string
	for _, record := range log.Records() {
		records = append(records, string(record))
	}
	return records
}

// work does the workload from a change on until one fails, and returns what
// must have lasted and what may have.
func work(log *disk.Log, from int, lasting []string) (durable, possible []string, done int) {
	durable = lasting
	for number := from; number < len(workload()); number++ {
		next := workload()[number]
		after := append(slices.Clone(durable), next.records...)
		write := log.Append
		if next.rewrite {
			after, write = next.records, log.Rewrite
		}
		if write(encode(next.records)...) != nil {
			return durable, after, number
		}
		durable = after
	}
	return durable, durable, len(workload())
}

// between reports whether found is what lasted, or that and a part of what
// may have.
func between(found, durable, possible []string) bool {
	if slices.Equal(found, durable) || slices.Equal(found, possible) {
		return true
	}
	return len(found) > len(durable) && len(found) <= len(possible) && slices.Equal(found[:len(durable)], durable) && slices.Equal(found, possible[:len(found)])
}

var _ = ginkgo.Describe("a log on a disk that fails", func() {
	ginkgo.It("keeps what was synced, and no part of anything else, after a crash at any operation", func() {
		total := 0
		for seed := range uint64(40) {
			for operation := 1; ; operation++ {
				fake := &standin.Disk{}
				fake.CrashAt(operation, seed)
				var durable, possible []string
				if log, err := disk.Open(fake, "data"); err == nil {
					var done int
					durable, possible, done = work(log, 0, nil)
					if done == len(workload()) {
						break
					}
					gomega.Expect(log.Append([]byte("refused"))).NotTo(gomega.Succeed())
				}
				fake.Restart(seed*1000 + uint64(operation))
				// The recovery crashes too, at an operation of its own.
				fake.CrashAt(1+operation%7, seed)
				if log, err := disk.Open(fake, "data"); err == nil {
					gomega.Expect(log.Close()).To(gomega.Succeed())
				}
				fake.Restart(seed*1001 + uint64(operation))
				log, err := disk.Open(fake, "data")
				gomega.Expect(err).NotTo(gomega.HaveOccurred())
				gomega.Expect(log.Damage()).NotTo(gomega.HaveOccurred(), "seed %d operation %d", seed, operation)
				found := read(log)
				gomega.Expect(between(found, durable, possible)).To(gomega.BeTrue(), "seed %d operation %d: %d found, %d durable, %d possible", seed, operation, len(found), len(durable), len(possible))
				total++
			}
		}
		gomega.Expect(total).To(gomega.BeNumerically(">", 1000))
	})

	ginkgo.It("detects a flipped bit anywhere and serves nothing", func() {
		fake := &standin.Disk{}
		log, err := disk.Open(fake, "data")
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		gomega.Expect(log.Rewrite([]byte("sealed"), []byte("too"))).To(gomega.Succeed())
		gomega.Expect(log.Append([]byte("one"))).To(gomega.Succeed())
		gomega.Expect(log.Append([]byte("two"))).To(gomega.Succeed())
		for offset := range fake.Size() {
			flipped := fake.Copy()
			flipped.Flip("log-", offset)
			opened, err := disk.Open(flipped, "data")
			gomega.Expect(err).NotTo(gomega.HaveOccurred())
			gomega.Expect(opened.Damage()).To(gomega.BeAssignableToTypeOf(&disk.DamagedError{}), "offset %d", offset)
			gomega.Expect(opened.Records()).To(gomega.BeEmpty())
			gomega.Expect(opened.Discard()).To(gomega.Succeed())
			gomega.Expect(opened.Rewrite([]byte("anew"))).To(gomega.Succeed())
		}
	})

	ginkgo.DescribeTable("is used no more after", func(fail func(fake *standin.Disk), expected error) {
		for number := range len(workload()) {
			fake := &standin.Disk{}
			log, err := disk.Open(fake, "data")
			gomega.Expect(err).NotTo(gomega.HaveOccurred())
			for _, done := range workload()[:number] {
				write := log.Append
				if done.rewrite {
					write = log.Rewrite
				}
				gomega.Expect(write(encode(done.records)...)).To(gomega.Succeed())
			}
			fail(fake)
			_, _, failedAt := work(log, number, nil)
			gomega.Expect(failedAt).To(gomega.Equal(number))
			again := log.Append([]byte("refused"))
			gomega.Expect(again).To(gomega.BeAssignableToTypeOf(expected))
			gomega.Expect(log.Rewrite([]byte("refused"))).To(gomega.MatchError(again))
		}
	},
		ginkgo.Entry("a failed sync", (*standin.Disk).FailSync, new(disk.FailedError)),
		ginkgo.Entry("a full disk", func(fake *standin.Disk) { fake.Limit(max(1, fake.Size())) }, new(disk.FullError)),
	)

	ginkgo.It("tells a sync that found no space from a write that found none", func() {
		log, err := disk.Open(lateDisk{&standin.Disk{}}, "data")
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		gomega.Expect(log.Rewrite([]byte("refused"))).To(gomega.BeAssignableToTypeOf(&disk.FailedError{}))
	})

	ginkgo.It("is locked against a second process, on the operating system's files too", func() {
		folder, err := os.MkdirTemp("", "comfreythread-disk-")
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		ginkgo.DeferCleanup(os.RemoveAll, folder)
		folder = filepath.Join(folder, "data")
		first, err := disk.Open(disk.OS{}, folder)
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		_, err = disk.Open(disk.OS{}, folder)
		gomega.Expect(err).To(gomega.BeAssignableToTypeOf(&disk.LockedError{}))
		durable, _, _ := work(first, 0, nil)
		gomega.Expect(first.Close()).To(gomega.Succeed())
		second, err := disk.Open(disk.OS{}, folder)
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		gomega.Expect(read(second)).To(gomega.Equal(durable))
		gomega.Expect(second.Close()).To(gomega.Succeed())
	})
})
