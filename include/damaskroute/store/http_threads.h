#ifndef DAMASKROUTE_STORE_HTTP_THREADS_H_
#define DAMASKROUTE_STORE_HTTP_THREADS_H_

namespace damaskroute {

/// Sets the size of cpprestsdk's thread pool to 4 for the process, in place of its default of 40.
/// Call it before the first use of cpprestsdk; later calls do nothing. Returns whether the pool
/// has this size, which is false if cpprestsdk started a pool of its own first.
bool InitializeHttpThreads();

}  // namespace damaskroute

#endif  // DAMASKROUTE_STORE_HTTP_THREADS_H_
