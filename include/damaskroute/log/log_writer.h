#ifndef DAMASKROUTE_LOG_LOG_WRITER_H_
#define DAMASKROUTE_LOG_LOG_WRITER_H_

#include <cstddef>
#include <cstdint>
#include <mutex>
#include <string>
#include <string_view>

namespace damaskroute {

/// Destination and buffer size of a `LogWriter`.
struct LogWriterOptions {
  int descriptor = 1;  ///< Standard output.
  /// Lines that would make the unwritten data exceed this size are dropped and counted.
  std::size_t max_buffered_bytes = std::size_t{256} << 10;
};

/// Collects log lines in a bounded buffer and writes them in batches. Never blocks on the
/// descriptor: lines that do not fit into the buffer are dropped, and a log line reports their
/// number. Thread-safe.
class LogWriter {
 public:
  /// Sets the descriptor to non-blocking mode.
  explicit LogWriter(const LogWriterOptions& options);

  /// Appends a line, which must end with a newline.
  void Append(std::string_view line);

  /// Writes as much as the descriptor accepts without blocking.
  void Flush();

  /// Number of lines dropped so far.
  std::uint64_t dropped() const;

 private:
  const LogWriterOptions options_;
  mutable std::mutex mutex_;
  std::string buffer_;
  std::uint64_t dropped_ = 0;
  std::uint64_t reported_dropped_ = 0;
};

/// Sends all log lines to `writer`, or to standard error again if it is null. The writer must
/// outlive its use.
void SetLogWriter(LogWriter* writer);

/// The writer in use; nullptr if there is none.
LogWriter* GetLogWriter();

}  // namespace damaskroute

#endif  // DAMASKROUTE_LOG_LOG_WRITER_H_
