# Included after project() of the main CMakeLists.txt by review/build.sh. The
# programs of the cases are added once all packages are defined.
function(add_review_cases)
  set(support ${CMAKE_SOURCE_DIR}/tests/support/process.cpp
    ${CMAKE_SOURCE_DIR}/tests/support/ports.cpp
    ${CMAKE_SOURCE_DIR}/tests/support/relay.cpp)
  file(GLOB cases ${CMAKE_SOURCE_DIR}/review/[1-5]/case.cpp)
  add_custom_target(review_cases)
  foreach(source ${cases})
    get_filename_component(folder ${source} DIRECTORY)
    get_filename_component(number ${folder} NAME)
    add_executable(review_case_${number} EXCLUDE_FROM_ALL ${source}
      ${CMAKE_SOURCE_DIR}/review/harness/cluster.cpp ${support})
    target_link_libraries(review_case_${number} PRIVATE project_options gateway)
    add_dependencies(review_cases review_case_${number})
  endforeach()
endfunction()
cmake_language(DEFER CALL add_review_cases)
