# Language standard and warnings for all targets.
# The standard is C++17 because websocketpp 0.8.2 does not compile as C++20.
set(CMAKE_CXX_STANDARD 17)
set(CMAKE_CXX_STANDARD_REQUIRED ON)
set(CMAKE_CXX_EXTENSIONS OFF)
set(CMAKE_EXPORT_COMPILE_COMMANDS ON)
if(NOT CMAKE_BUILD_TYPE)
  set(CMAKE_BUILD_TYPE RelWithDebInfo)
endif()

option(KNAPWEEDQUAY_BUILD_TESTS "Build the tests" ON)
option(KNAPWEEDQUAY_FUZZ "Build the libFuzzer entry points (needs clang)" OFF)

add_compile_options(-Wall -Wextra -Wpedantic -Werror)

find_program(CCACHE_PROGRAM ccache)
if(CCACHE_PROGRAM AND NOT CMAKE_CXX_COMPILER_LAUNCHER)
  set(CMAKE_CXX_COMPILER_LAUNCHER
      ${CMAKE_COMMAND} -E env CCACHE_BASEDIR=${CMAKE_SOURCE_DIR} CCACHE_NOHASHDIR=1
      CCACHE_SLOPPINESS=pch_defines,time_macros ${CCACHE_PROGRAM})
endif()
