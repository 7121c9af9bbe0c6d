#include "damaskroute/log/log_writer.h"

#include <fcntl.h>
#include <limits.h>
#include <unistd.h>

#include <atomic>

#include "fmt/format.h"

namespace damaskroute {
namespace {

std::atomic<LogWriter*> log_writer{nullptr};

// Size of the longest prefix of whole lines that fits into one atomic write. Writes of up to
// PIPE_BUF bytes to a pipe are atomic, so lines of several processes on one pipe do not interleave.
std::size_t SizeOfWholeLines(std::string_view text) {
  if (text.size() <= PIPE_BUF) return text.size();
  auto end = text.rfind('\n', PIPE_BUF - 1);
  return end == std::string_view::npos ? std::size_t{PIPE_BUF} : end + 1;
}

}  // namespace

void SetLogWriter(LogWriter* writer) { log_writer = writer; }

LogWriter* GetLogWriter() { return log_writer; }

LogWriter::LogWriter(const LogWriterOptions& options) : options_(options) {
  int flags = fcntl(options_.descriptor, F_GETFL);
  if (flags >= 0) fcntl(options_.descriptor, F_SETFL, flags | O_NONBLOCK);
}

void LogWriter::Append(std::string_view line) {
  std::lock_guard lock(mutex_);
  if (buffer_.size() + line.size() > options_.max_buffered_bytes) {
    ++dropped_;
    return;
  }
  if (reported_dropped_ < dropped_) {
    buffer_ +=
        fmt::format(R"({{"level":"warning","message":"log lines dropped","lines":{},"all":{}}})"
                    "\n",
                    dropped_ - reported_dropped_, dropped_);
    reported_dropped_ = dropped_;
  }
  buffer_ += line;
}

void LogWriter::Flush() {
  std::lock_guard lock(mutex_);
  std::size_t done = 0;
  while (done < buffer_.size()) {
    std::size_t size = SizeOfWholeLines(std::string_view(buffer_).substr(done));
    ssize_t written = write(options_.descriptor, buffer_.data() + done, size);
    // The rest is written by a later call. If the pipe is broken, lines are dropped once the buffer
    // is full.
    if (written <= 0) break;
    done += static_cast<std::size_t>(written);
  }
  buffer_.erase(0, done);
}

std::uint64_t LogWriter::dropped() const {
  std::lock_guard lock(mutex_);
  return dropped_;
}

}  // namespace damaskroute
