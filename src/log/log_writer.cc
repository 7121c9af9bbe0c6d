#include "damaskroute/log/log_writer.h"

#include <fcntl.h>
#include <unistd.h>

#include <atomic>

#include "fmt/format.h"

namespace damaskroute {
namespace {

std::atomic<LogWriter*> log_writer{nullptr};

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
  if (reported_ < dropped_) {
    buffer_ +=
        fmt::format(R"({{"level":"warning","message":"log lines dropped","lines":{},"all":{}}})"
                    "\n",
                    dropped_ - reported_, dropped_);
    reported_ = dropped_;
  }
  buffer_ += line;
}

void LogWriter::Flush() {
  std::lock_guard lock(mutex_);
  if (buffer_.empty()) return;
  ssize_t written = write(options_.descriptor, buffer_.data(), buffer_.size());
  // A full pipe takes the rest later; a broken one loses it when the buffer is full.
  if (written > 0) buffer_.erase(0, static_cast<std::size_t>(written));
}

std::uint64_t LogWriter::dropped() const {
  std::lock_guard lock(mutex_);
  return dropped_;
}

}  // namespace damaskroute
