# All libraries are packages of the operating system; Utilities/Scripts/packages.txt lists them.
find_package(Threads REQUIRED)
find_package(Boost 1.74 REQUIRED COMPONENTS program_options)
find_package(nlohmann_json REQUIRED)
find_package(tomlplusplus REQUIRED)
find_package(prometheus-cpp CONFIG REQUIRED)
find_package(PkgConfig REQUIRED)
pkg_check_modules(LOG4CXX REQUIRED IMPORTED_TARGET liblog4cxx)
find_package(CURL REQUIRED)
find_package(fmt REQUIRED)
find_library(HTTP_PARSER_LIBRARY http_parser REQUIRED)
find_library(XXHASH_LIBRARY xxhash REQUIRED)
find_library(ZSTD_LIBRARY zstd REQUIRED)
find_library(SODIUM_LIBRARY sodium REQUIRED)

# websocketpp and http_parser, with standalone Asio. Their headers are system headers, so that this project's warning
# options apply to its own code only.
add_library(knapweedquayNetworkLibraries INTERFACE)
# Whether Asio detects std::aligned_alloc depends on the headers that a source file includes before it. Without
# ASIO_DISABLE_STD_ALIGNED_ALLOC, source files allocate and free Asio's memory by different functions (found by the
# address sanitizer).
target_compile_definitions(knapweedquayNetworkLibraries INTERFACE
  ASIO_STANDALONE ASIO_DISABLE_STD_ALIGNED_ALLOC _WEBSOCKETPP_CPP11_STL_)
target_link_libraries(knapweedquayNetworkLibraries INTERFACE
  fmt::fmt ${HTTP_PARSER_LIBRARY} CURL::libcurl Threads::Threads)
