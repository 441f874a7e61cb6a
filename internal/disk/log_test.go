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

// fullAtSyncDisk is a disk on which writes succeed and syncs fail for lack of space.
type (
	fullAtSyncDisk struct{ *standin.Disk }
	fullAtSyncFile struct{ disk.File }
)

func (fullAtSync fullAtSyncDisk) Create(path string) (disk.File, error) {
	file, err := fullAtSync.Disk.Create(path)
	return fullAtSyncFile{file}, err
}

func (fullAtSyncFile) Sync() error { return syscall.ENOSPC }

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

// runWorkload applies the changes of the workload from an index on until one fails. It
// returns the records that must be durable, those that may be, and the index of the
// change that failed, or the number of changes if none did.
func runWorkload(log *disk.Log, from int, alreadyDurable []string) (durable, possible []string, failedAt int) {
	durable = alreadyDurable
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

// isValidRecovery reports whether found is a valid result of recovery: the durable records,
// alone or with a prefix of those that were being appended, or all the possible records.
func isValidRecovery(found, durable, possible []string) bool {
	if slices.Equal(found, durable) || slices.Equal(found, possible) {
		return true
	}
	return len(found) > len(durable) && len(found) <= len(possible) && slices.Equal(found[:len(durable)], durable) && slices.Equal(found, possible[:len(found)])
}

var _ = ginkgo.Describe("a log on a failing disk", func() {
	ginkgo.It("keeps all synced records, and no corrupted ones, after a crash at any operation", func() {
		total := 0
		for seed := range uint64(40) {
			for operation := 1; ; operation++ {
				fake := &standin.Disk{}
				fake.CrashAt(operation, seed)
				var durable, possible []string
				if log, err := disk.Open(fake, "data"); err == nil {
					var failedAt int
					durable, possible, failedAt = runWorkload(log, 0, nil)
					if failedAt == len(workload()) {
						break
					}
					gomega.Expect(log.Append([]byte("refused"))).NotTo(gomega.Succeed())
				}
				fake.Restart(seed*1000 + uint64(operation))
				// The recovery crashes too, at another operation.
				fake.CrashAt(1+operation%7, seed)
				if log, err := disk.Open(fake, "data"); err == nil {
					gomega.Expect(log.Close()).To(gomega.Succeed())
				}
				fake.Restart(seed*1001 + uint64(operation))
				log, err := disk.Open(fake, "data")
				gomega.Expect(err).NotTo(gomega.HaveOccurred())
				gomega.Expect(log.Damage()).NotTo(gomega.HaveOccurred(), "seed %d operation %d", seed, operation)
				found := read(log)
				gomega.Expect(isValidRecovery(found, durable, possible)).To(gomega.BeTrue(), "seed %d operation %d: %d found, %d durable, %d possible", seed, operation, len(found), len(durable), len(possible))
				total++
			}
		}
		gomega.Expect(total).To(gomega.BeNumerically(">", 1000))
	})

	ginkgo.It("detects a flipped bit at any offset and returns no records", func() {
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

	ginkgo.DescribeTable("refuses all further writes after", func(fail func(fake *standin.Disk), expected error) {
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
			_, _, failedAt := runWorkload(log, number, nil)
			gomega.Expect(failedAt).To(gomega.Equal(number))
			repeated := log.Append([]byte("refused"))
			gomega.Expect(repeated).To(gomega.BeAssignableToTypeOf(expected))
			gomega.Expect(log.Rewrite([]byte("refused"))).To(gomega.MatchError(repeated))
		}
	},
		ginkgo.Entry("a failed sync", (*standin.Disk).FailSync, new(disk.FailedError)),
		ginkgo.Entry("a full disk", func(fake *standin.Disk) { fake.Limit(max(1, fake.Size())) }, new(disk.FullError)),
	)

	ginkgo.It("reports a sync that failed for lack of space as a failed disk, not as a full one", func() {
		log, err := disk.Open(fullAtSyncDisk{&standin.Disk{}}, "data")
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		gomega.Expect(log.Rewrite([]byte("refused"))).To(gomega.BeAssignableToTypeOf(&disk.FailedError{}))
	})

	ginkgo.It("is locked against a second process on the operating system's file system", func() {
		folder, err := os.MkdirTemp("", "comfreythread-disk-")
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		ginkgo.DeferCleanup(os.RemoveAll, folder)
		folder = filepath.Join(folder, "data")
		first, err := disk.Open(disk.OS{}, folder)
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		_, err = disk.Open(disk.OS{}, folder)
		gomega.Expect(err).To(gomega.BeAssignableToTypeOf(&disk.LockedError{}))
		durable, _, _ := runWorkload(first, 0, nil)
		gomega.Expect(first.Close()).To(gomega.Succeed())
		second, err := disk.Open(disk.OS{}, folder)
		gomega.Expect(err).NotTo(gomega.HaveOccurred())
		gomega.Expect(read(second)).To(gomega.Equal(durable))
		gomega.Expect(second.Close()).To(gomega.Succeed())
	})
})
