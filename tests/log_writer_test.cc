#include "damaskroute/log/log_writer.h"

#include <doctest/doctest.h>
#include <fcntl.h>
#include <unistd.h>

#include <string>

#include "damaskroute/log/log_line.h"

namespace damaskroute {
namespace {

struct Pipe {
  Pipe() { REQUIRE(pipe(ends) == 0); }
  ~Pipe() {
    close(ends[0]);
    close(ends[1]);
  }

  std::string Read() const {
    fcntl(ends[0], F_SETFL, O_NONBLOCK);
    std::string text(1 << 20, ' ');
    ssize_t count = read(ends[0], text.data(), text.size());
    return text.substr(0, count < 0 ? 0 : static_cast<std::size_t>(count));
  }

  int ends[2];
};

TEST_CASE("log lines go to the current writer and are written whole") {
  Pipe pipe;
  LogWriter writer({.descriptor = pipe.ends[1]});
  SetLogWriter(&writer);
  LogLine(LogLevel::kInfo, "first").Field("n", 1);
  SetLogWriter(nullptr);
  CHECK(pipe.Read().empty());
  writer.Flush();
  std::string text = pipe.Read();
  CHECK(text.find("\"message\":\"first\",\"n\":1}\n") != std::string::npos);
}

TEST_CASE("a stalled reader neither blocks the writer nor makes its buffer grow without bound") {
  Pipe pipe;
  LogWriter writer({.descriptor = pipe.ends[1], .max_buffered_bytes = 10'000});
  std::string line(99, 'x');
  line += '\n';
  for (int i = 0; i < 5000; ++i) {
    writer.Append(line);
    writer.Flush();
  }
  CHECK(writer.dropped() > 0);
  std::uint64_t dropped = writer.dropped();
  while (!pipe.Read().empty()) writer.Flush();
  writer.Append(line);
  writer.Flush();
  std::string text = pipe.Read();
  CHECK(text.find("\"lines\":" + std::to_string(dropped)) != std::string::npos);
  CHECK(text.ends_with(line));
}

}  // namespace
}  // namespace damaskroute
