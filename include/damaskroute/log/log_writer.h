#ifndef DAMASKROUTE_LOG_LOG_WRITER_H_
#define DAMASKROUTE_LOG_LOG_WRITER_H_

#include <cstddef>
#include <cstdint>
#include <mutex>
#include <string>
#include <string_view>

namespace damaskroute {

/// Bounds of a `LogWriter`.
struct LogWriterOptions {
  int descriptor = 1;  ///< Standard output.
  /// Lines beyond this many bytes that are not written yet are dropped and counted.
  std::size_t max_buffered_bytes = std::size_t{256} << 10;
};

/// Collects log lines in a bounded buffer and writes them out in batches. It never waits: lines for
/// which there is no room are dropped, and their number is written as a line of its own. Safe for
/// use by several threads.
class LogWriter {
 public:
  /// Makes the descriptor non-blocking.
  explicit LogWriter(const LogWriterOptions& options);

  /// Adds a line with its newline.
  void Append(std::string_view line);

  /// Writes as much as the descriptor takes now.
  void Flush();

  std::uint64_t dropped() const;

 private:
  const LogWriterOptions options_;
  mutable std::mutex mutex_;
  std::string buffer_;
  std::uint64_t dropped_ = 0;
  std::uint64_t reported_ = 0;
};

/// Sends all log lines to `writer` instead of standard error; nullptr undoes it. The writer must
/// outlive its use.
void SetLogWriter(LogWriter* writer);

/// The writer in use; nullptr if there is none.
LogWriter* GetLogWriter();

}  // namespace damaskroute

#endif  // DAMASKROUTE_LOG_LOG_WRITER_H_
