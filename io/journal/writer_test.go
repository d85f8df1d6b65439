package journal_test

import (
	"bytes"
	"fmt"
	"io"
	"regexp"
	"strconv"
	"strings"
	"time"

	"jacinthferry/io/journal"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

var _ = Describe("Writer", func() {
	It("does not block the caller if the reader has stopped, and counts the lines that it drops", func() {
		reader, out := io.Pipe()
		w := journal.NewAsyncWriter(out, 4)
		start := time.Now()
		const lines = 1000
		for i := range lines {
			n, err := fmt.Fprintf(w, "line %d\n", i)
			Expect(err).NotTo(HaveOccurred())
			Expect(n).To(BeNumerically(">", 0))
		}
		Expect(time.Since(start)).To(BeNumerically("<", time.Second))
		var got bytes.Buffer
		done := make(chan struct{})
		go func() {
			defer close(done)
			_, _ = io.Copy(&got, reader)
		}()
		w.Close(10 * time.Second)
		Expect(out.Close()).To(Succeed())
		Eventually(done).WithTimeout(10 * time.Second).Should(BeClosed())
		kept := strings.Count(got.String(), "line ")
		Expect(kept).To(BeNumerically("<=", 6))
		dropped := 0
		for _, found := range regexp.MustCompile(`"count":(\d+)}`).FindAllStringSubmatch(got.String(), -1) {
			n, err := strconv.Atoi(found[1])
			Expect(err).NotTo(HaveOccurred())
			dropped += n
		}
		Expect(kept + dropped).To(Equal(lines))
	})

	It("drops lines that are written during and after Close", func() {
		w := journal.NewAsyncWriter(io.Discard, 4)
		stop := make(chan struct{})
		done := make(chan struct{})
		go func() {
			defer close(done)
			for {
				select {
				case <-stop:
					return
				default:
					_, _ = fmt.Fprintln(w, "line")
				}
			}
		}()
		w.Close(time.Second)
		n, err := fmt.Fprintln(w, "late line")
		Expect(err).NotTo(HaveOccurred())
		Expect(n).To(BeNumerically(">", 0))
		close(stop)
		Eventually(done).WithTimeout(5 * time.Second).Should(BeClosed())
	})

	It("returns from Close after the timeout if the reader has stopped", func() {
		_, out := io.Pipe()
		w := journal.NewAsyncWriter(out, 4)
		_, err := fmt.Fprintln(w, "line")
		Expect(err).NotTo(HaveOccurred())
		start := time.Now()
		w.Close(10 * time.Millisecond)
		Expect(time.Since(start)).To(BeNumerically("<", 5*time.Second))
	})
})
